package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.catalog.TableChanges;
import dev.hornbeamwheel.core.host.catalog.TableConfirmation;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.cold.ColdLease;
import dev.hornbeamwheel.core.host.cold.ColdLeaseRequest;
import dev.hornbeamwheel.core.host.lease.HostCapacity;
import dev.hornbeamwheel.core.host.organisations.QuotaLease;
import dev.hornbeamwheel.core.host.organisations.QuotaLeaseRequest;
import dev.hornbeamwheel.core.host.shares.ShareLease;
import dev.hornbeamwheel.core.host.shares.ShareRequest;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.TrafficClass;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.recovery.Evidence;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/** A message between an entry host and the coordinator. */
public sealed interface HostMessage {
  /**
   * Returns the name of this kind of message as a metric label: the simple name of the type, or,
   * for a renamed type, its earlier name.
   */
  default String kindName() {
    return getClass().getSimpleName();
  }

  /** Introduces a host; the first message on its connection. */
  record Hello(HostId host, DataCentreId dataCentre, HostCapacity capacity)
      implements HostMessage {}

  /**
   * Requests a slot at an upstream.
   *
   * @param requestNumber number that is unique within the host
   * @param key the key, or empty if the service is not divided by key
   * @param priority rank; zero goes first
   * @param trafficClass traffic class of the request
   * @param deadlineMillis time until the request's deadline, in milliseconds
   * @param targetMillis time until the latency target, in milliseconds; zero if it has passed
   * @param suspect whether an upstream ended, or may have ended, while it ran the same request
   * @param excludedUpstreams upstreams that the host cannot use now
   * @param coldLeaseRequest asks for a lease on cold upstreams, too
   * @param shareRequest asks for leased shares of services, too
   */
  record SlotRequest(
      long requestNumber,
      ServiceId service,
      OptionalInt key,
      int priority,
      TrafficClass trafficClass,
      long deadlineMillis,
      long targetMillis,
      boolean largeResponse,
      boolean suspect,
      Set<UpstreamId> excludedUpstreams,
      Optional<ColdLeaseRequest> coldLeaseRequest,
      Optional<ShareRequest> shareRequest)
      implements HostMessage {
    /** Creates a slot request that does not ask for shares. */
    public SlotRequest(
        long requestNumber,
        ServiceId service,
        OptionalInt key,
        int priority,
        TrafficClass trafficClass,
        long deadlineMillis,
        long targetMillis,
        boolean largeResponse,
        boolean suspect,
        Set<UpstreamId> excludedUpstreams,
        Optional<ColdLeaseRequest> coldLeaseRequest) {
      this(
          requestNumber,
          service,
          key,
          priority,
          trafficClass,
          deadlineMillis,
          targetMillis,
          largeResponse,
          suspect,
          excludedUpstreams,
          coldLeaseRequest,
          Optional.empty());
    }

    @Override
    public String kindName() {
      return "Ask";
    }
  }

  /** Cancels a slot request. */
  record Cancel(long requestNumber) implements HostMessage {}

  /** Frees the slot of a request that has ended; {@code workPercent} is zero if unknown. */
  record Done(
      long requestNumber,
      UpstreamId upstream,
      Completion completion,
      long durationMillis,
      int workPercent)
      implements HostMessage {}

  /** Reports a request that runs on a slot which this coordinator did not grant. */
  record SlotInUse(long requestNumber, ServiceId service, OptionalInt key, UpstreamId upstream)
      implements HostMessage {
    @Override
    public String kindName() {
      return "Hold";
    }
  }

  /**
   * Shows that the coordinator is alive.
   *
   * @param leaseHeld whether the coordinator holds the lease
   * @param connectedHosts number of hosts connected to it, including its own
   * @param bestCapacity greatest capacity among them; without its own if it is handing over
   * @param handingOver whether the coordinator gave up the lease for a host of about that capacity
   * @param confirmations what the coordinator knows of the store's tables
   * @param coldLease lease on cold upstreams that this host has asked for
   * @param shareLease leased shares of services that this host has asked for
   */
  record Heartbeat(
      long term,
      boolean leaseHeld,
      int connectedHosts,
      HostCapacity bestCapacity,
      boolean handingOver,
      List<TableConfirmation> confirmations,
      Optional<ColdLease> coldLease,
      Optional<ShareLease> shareLease)
      implements HostMessage {
    /** Creates a heartbeat that leases no shares. */
    public Heartbeat(
        long term,
        boolean leaseHeld,
        int connectedHosts,
        HostCapacity bestCapacity,
        boolean handingOver,
        List<TableConfirmation> confirmations,
        Optional<ColdLease> coldLease) {
      this(
          term,
          leaseHeld,
          connectedHosts,
          bestCapacity,
          handingOver,
          confirmations,
          coldLease,
          Optional.empty());
    }
  }

  /** Grants a slot at an upstream; {@code fencingToken} is zero without a key. */
  record SlotGrant(long requestNumber, UpstreamId upstream, long fencingToken)
      implements HostMessage {
    @Override
    public String kindName() {
      return "Give";
    }
  }

  /**
   * Refuses a slot request that cannot be served in time.
   *
   * @param retryAfterMillis time after which a retry may succeed, in milliseconds
   * @param reason why, in a few words
   */
  record SlotRefusal(long requestNumber, long retryAfterMillis, String reason)
      implements HostMessage {
    @Override
    public String kindName() {
      return "Refuse";
    }
  }

  /**
   * Refuses a slot request for which the quota of its organisation has no room.
   *
   * @param retryAfterMillis time after which the quota has room again, in milliseconds
   */
  record QuotaRefusal(long requestNumber, long retryAfterMillis) implements HostMessage {}

  /** Requests a lease on parts of quotas. */
  record RequestQuotaLease(QuotaLeaseRequest request) implements HostMessage {}

  /** Grants a lease on parts of quotas. */
  record GrantQuotaLease(QuotaLease lease) implements HostMessage {}

  /** Maps the first key of each range of a service to the owner of the range. */
  record KeyMap(ServiceId service, Map<Integer, UpstreamId> ownersByFirstKey)
      implements HostMessage {}

  /**
   * Changes the owners since the last key map message for the service on this connection.
   *
   * @param changedOwnersByFirstKey new or changed owners, by the first key of their range
   * @param mergedFirstKeys first keys of ranges that were merged into the preceding range
   */
  record KeyMapChange(
      ServiceId service,
      Map<Integer, UpstreamId> changedOwnersByFirstKey,
      Set<Integer> mergedFirstKeys)
      implements HostMessage {}

  /** Reports evidence about requests that crash upstreams, to the coordinator or from it. */
  record CrashEvidence(List<Evidence> evidence) implements HostMessage {}

  /** Reports upstreams that leave by their own word, to the coordinator or from it. */
  record UpstreamsLeaving(List<UpstreamIncarnation> upstreams) implements HostMessage {}

  /** Sends a host all learned limits that are lower than the slots of their upstreams. */
  record UpstreamLimits(Map<UpstreamId, Integer> limits) implements HostMessage {}

  /** Sends a host the changes of a table that the coordinator has read from the store. */
  record CatalogChange(TableChanges changes) implements HostMessage {}
}
