package dev.hornbeamwheel.core.dispatch;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;

/**
 * A message between a router and the dispatcher of a service in a data centre.
 *
 * <p>All durations are relative, since members do not share a clock.
 */
public sealed interface DispatchMessage {
  /** Returns the service whose slots the message is about. */
  ServiceId service();

  /** Returns the data centre whose slots the message is about. */
  DataCentreId dataCentre();

  /**
   * Asks for a slot; a repeated request with the same id is the same request.
   *
   * @param requestId the request that waits
   * @param upstream the only upstream that may run it; null if any may
   * @param avoid upstreams that it has already been tried on
   * @param fingerprint hash of the request if it is suspected of a crash; otherwise zero
   * @param waitedMillis time that it has waited so far
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

  /** Takes back a request for a slot that is no longer needed. */
  record SlotRequestWithdrawn(ServiceId service, DataCentreId dataCentre, RequestId requestId)
      implements DispatchMessage {}

  /**
   * Grants the use of one slot.
   *
   * @param leaseId number of the lease, unique to its dispatcher's incarnation
   * @param requestId the request that asked
   * @param upstream the upstream with the slot
   * @param durationMillis time from its receipt after which no request may be sent on it
   * @param reusable whether further requests may use it until it is recalled
   * @param warmUpState what the dispatcher knows of the upstream
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
   * Refuses a request for a slot for good.
   *
   * @param retryAfterMillis time after which the caller may try again
   */
  record SlotRefused(
      ServiceId service, DataCentreId dataCentre, RequestId requestId, long retryAfterMillis)
      implements DispatchMessage {}

  /** Asks for leases back as soon as their running requests have finished. */
  record Recall(ServiceId service, DataCentreId dataCentre, List<Long> leaseIds)
      implements DispatchMessage {
    /** Copies the list. */
    public Recall {
      leaseIds = List.copyOf(leaseIds);
    }
  }

  /**
   * Gives a lease back.
   *
   * @param result how the request that used it ended
   * @param runMillis how long that request ran; zero if none did
   * @param upstreamIncarnation incarnation that the upstream answered with; zero if unknown
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
   * Reports periodically which leases a router holds, and keeps them from lapsing.
   *
   * @param sentAtMillis the sender's clock, repeated by the acknowledgement
   * @param echoMillis stamp of the last acknowledgement from this dispatcher; zero if none
   * @param supportsDispatcher whether the sender backs no other dispatcher of these slots
   * @param leases the leases held
   * @param warmUpStates what the router knows of the upstreams
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
   * @param heartbeatSentAtMillis repeated from the report
   * @param dispatcherMillis the dispatcher's clock
   * @param warmUpStates what the dispatcher knows of the upstreams
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

  /** Hands the state of a stopping dispatcher to its successor. */
  record HandOver(ServiceId service, DataCentreId dataCentre, List<WarmUpState> warmUpStates)
      implements DispatchMessage {
    /** Copies the list. */
    public HandOver {
      warmUpStates = List.copyOf(warmUpStates);
    }
  }

  /**
   * A lease that a router holds.
   *
   * @param leaseId number of the lease; zero for a request sent without one
   * @param upstream the upstream with the slot
   * @param busyMillis how long the running request has run; zero if none does
   * @param busy whether a request runs on it
   */
  record HeldLease(long leaseId, UpstreamId upstream, long busyMillis, boolean busy) {}

  /** How the use of a slot ended. */
  enum UseResult {
    /** No request used it. */
    UNUSED,
    /** The upstream answered in full. */
    COMPLETED,
    /** The upstream refused the request because it has too much to do. */
    SHED,
    /** The upstream refused the request for another reason. */
    REFUSED,
    /** The upstream was lost or could not be reached. */
    LOST,
    /** The request was cancelled, or its answer was of no use. */
    ABANDONED
  }
}
