package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.cold.ColdLease;
import dev.hornbeamwheel.core.host.cold.ColdLeaseRequest;
import dev.hornbeamwheel.core.host.cold.ColdLeases;
import dev.hornbeamwheel.core.host.shares.ShareLease;
import dev.hornbeamwheel.core.host.shares.ShareLeases;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.host.slots.SlotBroker;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import java.util.Optional;
import java.util.function.LongPredicate;

/** The leases that hosts need if they lose the coordinator; renewed along with slot requests. */
final class HostLeases {
  /** Leases that answer one slot request. */
  record Renewed(Optional<ColdLease> coldLease, Optional<ShareLease> shareLease) {
    /** Returns that nothing was renewed. */
    static Renewed nothing() {
      return new Renewed(Optional.empty(), Optional.empty());
    }

    boolean any() {
      return coldLease.isPresent() || shareLease.isPresent();
    }
  }

  private final ConnectedHosts connectedHosts;
  private final SlotBroker broker;
  private final LongPredicate holdsLease;
  private final ColdLeases coldLeases;
  private final ShareLeases shareLeases;

  /**
   * Creates the leases of a term of the coordinator that starts now.
   *
   * @param broker knows the throughput of services
   * @param holdsLease whether this process certainly holds the coordinator's lease at a time, in
   *     milliseconds
   */
  HostLeases(
      long nowMillis, ConnectedHosts connectedHosts, SlotBroker broker, LongPredicate holdsLease) {
    this.connectedHosts = connectedHosts;
    this.broker = broker;
    this.holdsLease = holdsLease;
    this.coldLeases = ColdLeases.startTerm(nowMillis);
    this.shareLeases = ShareLeases.startTerm(nowMillis);
  }

  /** Renews the leases that a slot request asks for. */
  Renewed renew(long nowMillis, LinkId link, HostMessage.SlotRequest request) {
    Optional<HostId> host = connectedHosts.host(link);
    boolean asked = request.coldLeaseRequest().isPresent() || request.shareRequest().isPresent();
    if (!asked || host.isEmpty() || !holdsLease.test(nowMillis)) {
      return Renewed.nothing();
    }
    return new Renewed(
        request
            .coldLeaseRequest()
            .map(cold -> renewCold(nowMillis, link, host.get(), request.requestNumber(), cold)),
        request
            .shareRequest()
            .map(
                shares ->
                    shareLeases.renew(
                        nowMillis,
                        host.get(),
                        request.requestNumber(),
                        shares,
                        connectedHosts.size(),
                        service -> broker.requestsPerSecond(nowMillis, service))));
  }

  /** Takes over the number of hosts that the lease row names; zero if it is unknown. */
  void fleetSizeRead(long nowMillis, int size) {
    shareLeases.fleetSizeRead(nowMillis, size);
  }

  /** Returns the number of hosts of the fleet; zero if it is not known yet. */
  int fleetSize(long nowMillis) {
    return shareLeases.fleetSize(nowMillis, connectedHosts.size());
  }

  private ColdLease renewCold(
      long nowMillis, LinkId link, HostId host, long requestNumber, ColdLeaseRequest asked) {
    DataCentreId dataCentre = connectedHosts.dataCentre(link).orElseThrow();
    return new ColdLease(
        requestNumber,
        coldLeases.renew(nowMillis, dataCentre, host, asked, connectedHosts.size(dataCentre)));
  }
}
