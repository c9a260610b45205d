package dev.hornbeamwheel.core.dispatch;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;

/**
 * A message between a router and the dispatcher of a service in a data centre.
 *
 * <p>Deadlines and ages are sent as durations, because members do not share a clock.
 */
public sealed interface DispatchMessage {
  /** Returns the service that the slots belong to. */
  ServiceId service();

  /** Returns the data centre that the slots belong to. */
  DataCentreId dataCentre();

  /**
   * Requests a slot; idempotent for the same request id.
   *
   * @param requestId the waiting request
   * @param upstream the only upstream that may run it; null for any
   * @param avoid upstreams that have already been tried
   * @param fingerprint hash of the request if it is suspected of crashing upstreams; otherwise zero
   * @param waitedMillis time that it has waited already
   * @param remainingMillis time until its deadline
   */
  record SlotRequest(
      ServiceId service,
      DataCentreId dataCentre,
      RequestId requestId,
      UpstreamId upstream,
      List<UpstreamId> avoid,
      long fingerprint,
      long waitedMillis,
      long remainingMillis)
      implements DispatchMessage {
    /** Copies the list. */
    public SlotRequest {
      avoid = List.copyOf(avoid);
    }
  }

  /** Withdraws a slot request that is no longer needed. */
  record SlotRequestWithdrawn(ServiceId service, DataCentreId dataCentre, RequestId requestId)
      implements DispatchMessage {}

  /**
   * Grants a lease of one slot.
   *
   * @param leaseId id of the lease, unique within the dispatcher's incarnation
   * @param requestId the request that the slot was requested for
   * @param upstream the upstream that the slot belongs to
   * @param durationMillis validity from receipt; no request may be sent under the lease after it
   * @param reusable whether further requests may use the lease until it is recalled
   * @param warmUpState the upstream's state as the dispatcher knows it
   */
  record SlotLease(
      ServiceId service,
      DataCentreId dataCentre,
      long leaseId,
      RequestId requestId,
      UpstreamId upstream,
      long durationMillis,
      boolean reusable,
      WarmUpState warmUpState)
      implements DispatchMessage {}

  /**
   * Refuses a slot request; the dispatcher does not queue it.
   *
   * @param retryAfterMillis time after which the caller may retry
   */
  record SlotRefused(
      ServiceId service, DataCentreId dataCentre, RequestId requestId, long retryAfterMillis)
      implements DispatchMessage {}

  /** Recalls leases; each is returned as soon as its running request has finished. */
  record Recall(ServiceId service, DataCentreId dataCentre, List<Long> leaseIds)
      implements DispatchMessage {
    /** Copies the list. */
    public Recall {
      leaseIds = List.copyOf(leaseIds);
    }
  }

  /**
   * Returns a lease.
   *
   * @param result how the use of the slot ended
   * @param runMillis run time of the request; zero if none ran
   * @param upstreamIncarnation incarnation reported by the upstream; zero if unknown
   */
  record SlotReturn(
      ServiceId service,
      DataCentreId dataCentre,
      long leaseId,
      UpstreamId upstream,
      UseResult result,
      long runMillis,
      long upstreamIncarnation)
      implements DispatchMessage {}

  /**
   * Reports periodically which leases a router holds, and renews them.
   *
   * @param sentAtMillis the sender's clock, which the acknowledgement repeats
   * @param echoMillis the dispatcher's clock in its last acknowledgement; zero if there is none
   * @param supportsDispatcher whether the sender supports no other dispatcher of these slots
   * @param leases the leases that the router holds
   * @param warmUpStates the upstreams' states as the router knows them
   */
  record LeaseHeartbeat(
      ServiceId service,
      DataCentreId dataCentre,
      long sentAtMillis,
      long echoMillis,
      boolean supportsDispatcher,
      List<HeldLease> leases,
      List<WarmUpState> warmUpStates)
      implements DispatchMessage {
    /** Copies the lists. */
    public LeaseHeartbeat {
      leases = List.copyOf(leases);
      warmUpStates = List.copyOf(warmUpStates);
    }
  }

  /**
   * Acknowledges {@link LeaseHeartbeat}.
   *
   * @param heartbeatSentAtMillis send time of the heartbeat, on the router's clock
   * @param dispatcherMillis the dispatcher's clock
   * @param warmUpStates recent states of upstreams as the dispatcher knows them
   */
  record LeaseHeartbeatAck(
      ServiceId service,
      DataCentreId dataCentre,
      long heartbeatSentAtMillis,
      long dispatcherMillis,
      List<WarmUpState> warmUpStates)
      implements DispatchMessage {
    /** Copies the list. */
    public LeaseHeartbeatAck {
      warmUpStates = List.copyOf(warmUpStates);
    }
  }

  /** Transfers the state of a stopping dispatcher to its successor. */
  record HandOver(ServiceId service, DataCentreId dataCentre, List<WarmUpState> warmUpStates)
      implements DispatchMessage {
    /** Copies the list. */
    public HandOver {
      warmUpStates = List.copyOf(warmUpStates);
    }
  }

  /**
   * Describes a lease that a router holds.
   *
   * @param leaseId id of the lease; zero for a request sent without a lease
   * @param upstream the upstream that the slot belongs to
   * @param busyMillis how long the current request has run; zero if there is none
   * @param busy whether a request is running under the lease
   */
  record HeldLease(long leaseId, UpstreamId upstream, long busyMillis, boolean busy) {}

  /** Describes how the use of a slot ended. */
  enum UseResult {
    /** No request was sent. */
    UNUSED,
    /** The upstream sent a complete response. */
    COMPLETED,
    /** The upstream refused the request because it is overloaded. */
    SHED,
    /** The upstream refused the request for another reason. */
    REFUSED,
    /** The upstream was lost or could not be reached. */
    LOST,
    /** The request was cancelled, or its response was discarded. */
    ABANDONED
  }
}
