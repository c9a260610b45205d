package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Optional;

/** What the ownership of keys asks for. */
public sealed interface KeyEffect {
  /** Read the table of a service from the store. */
  record ReadTable(ServiceId service) implements KeyEffect {}

  /**
   * Write the table of a service if it still has a version.
   *
   * @param expectedVersion version that the row must have; zero if it must not exist
   */
  record WriteTable(ServiceId service, KeyTable table, long expectedVersion) implements KeyEffect {}

  /**
   * Grant keys to an upstream, or renew them.
   *
   * @param orderId number of the order, for its answer
   * @param upstream the upstream that is meant; another one at the address refuses
   * @param holdMillis how long the upstream may hold the keys, from the arrival of the order
   * @param handover what the owner before passed on
   * @param sendByMillis time after which the order must not be sent any more
   */
  record Grant(
      long orderId,
      UpstreamId upstream,
      Address address,
      KeyRange range,
      long fencingToken,
      long holdMillis,
      Optional<String> handover,
      long sendByMillis)
      implements KeyEffect {}

  /**
   * Take keys back from an upstream; it answers when the running work on them has ended.
   *
   * @param orderId number of the order, for its answer
   * @param upstream the upstream that is meant; another one at the address refuses
   */
  record Release(
      long orderId, UpstreamId upstream, Address address, KeyRange range, long fencingToken)
      implements KeyEffect {}

  /** Something changed that is worth a log line. */
  record Note(String decision, ServiceId service, String subject, String reason)
      implements KeyEffect {}
}
