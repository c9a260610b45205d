package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.StoreVersion;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Optional;

/** An action that {@link KeyedService} requests from its caller. */
public sealed interface KeyEffect {
  /** Reads the table of a service from the store. */
  record ReadTable(ServiceId service) implements KeyEffect {}

  /**
   * Writes the table of a service if its row has the expected version.
   *
   * @param expectedVersion required version of the row; its number is zero if the row must not
   *     exist
   */
  record WriteTable(ServiceId service, KeyTable table, StoreVersion expectedVersion)
      implements KeyEffect {}

  /**
   * Grants a range of keys to an upstream, or renews the grant.
   *
   * @param orderId id of the order, which its result names
   * @param upstream the intended upstream; a different one at the address refuses the order
   * @param holdMillis time for which the upstream may hold the keys after the order arrives
   * @param handover hand-over state of the previous owner, if any
   * @param sendByMillis time after which the order must not be sent
   * @param verified whether the answer must certainly belong to this order
   */
  record Grant(
      long orderId,
      UpstreamId upstream,
      Address address,
      KeyRange range,
      long fencingToken,
      long holdMillis,
      Optional<String> handover,
      long sendByMillis,
      boolean verified)
      implements KeyEffect {}

  /**
   * Takes a range of keys back; the upstream answers when its running work on them has ended.
   *
   * @param orderId id of the order, which its result names
   * @param upstream the intended upstream; a different one at the address refuses the order
   */
  record Release(
      long orderId, UpstreamId upstream, Address address, KeyRange range, long fencingToken)
      implements KeyEffect {}

  /** Logs a decision. */
  record Note(String decision, ServiceId service, String subject, String reason)
      implements KeyEffect {}
}
