package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.lease.HostCapacity;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

/** What an entry host and the coordinator say to each other. */
public sealed interface HostMessage {
  /**
   * Returns the name of this kind of message. It is the simple name of the type, or the earlier one
   * of a type that was renamed: a label of a metric.
   */
  default String kindName() {
    return getClass().getSimpleName();
  }

  /** First message of a host. */
  record Hello(HostId host, DataCentreId dataCentre, HostCapacity capacity)
      implements HostMessage {}

  /** Asks for a slot; times are in milliseconds from now. */
  record SlotRequest(
      long requestNumber,
      ServiceId service,
      OptionalInt key,
      int priority,
      long deadlineMillis,
      long targetMillis,
      boolean largeResponse,
      Set<UpstreamId> excludedUpstreams)
      implements HostMessage {
    @Override
    public String kindName() {
      return "Ask";
    }
  }

  /** An ask is void. */
  record Cancel(long requestNumber) implements HostMessage {}

  /** A request on a slot has ended; {@code workPercent} is zero if unknown. */
  record Done(
      long requestNumber,
      UpstreamId upstream,
      Completion completion,
      long durationMillis,
      int workPercent)
      implements HostMessage {}

  /** A request runs on a slot that this coordinator has not handed out. */
  record SlotInUse(long requestNumber, ServiceId service, OptionalInt key, UpstreamId upstream)
      implements HostMessage {
    @Override
    public String kindName() {
      return "Hold";
    }
  }

  /**
   * The coordinator is alive.
   *
   * @param leaseHeld whether it holds the lease
   * @param connectedHosts how many hosts are connected to it
   * @param bestCapacity greatest capacity among them
   * @param handingOver whether it gave the lease up for a host of about that capacity
   */
  record Heartbeat(
      long term,
      boolean leaseHeld,
      int connectedHosts,
      HostCapacity bestCapacity,
      boolean handingOver)
      implements HostMessage {}

  /** An ask may go to an upstream. */
  record SlotGrant(long requestNumber, UpstreamId upstream, long fencingToken)
      implements HostMessage {
    @Override
    public String kindName() {
      return "Give";
    }
  }

  /** An ask cannot be met in time. */
  record SlotRefusal(long requestNumber, long retryAfterMillis, String reason)
      implements HostMessage {
    @Override
    public String kindName() {
      return "Refuse";
    }
  }

  /** All owners of a service's keys, each under the first key of its range. */
  record KeyMap(ServiceId service, Map<Integer, UpstreamId> ownersByFirstKey)
      implements HostMessage {}

  /**
   * What changed of a service's owners since the latest message about them on this connection.
   *
   * @param changedOwnersByFirstKey owners that changed, each under the first key of its range
   * @param mergedFirstKeys first keys of former ranges that are part of the range before them
   */
  record KeyMapChange(
      ServiceId service,
      Map<Integer, UpstreamId> changedOwnersByFirstKey,
      Set<Integer> mergedFirstKeys)
      implements HostMessage {}
}
