package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.claims.Claimant;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.List;

/** Mutable state of a request from its arrival to its end. */
final class RequestState {
  /** Phase of a request; says what the request waits for. */
  enum Phase {
    CLAIMING,
    WAITING_FOR_OWNER,
    BACKING_OFF,
    WAITING_FOR_SLOT,
    RUNNING,
    ENDED
  }

  final RoutingEvent.RequestArrived arrival;
  final Service service;
  final long keyHash;
  final int shard;
  final List<Attempt> runningAttempts = new ArrayList<>(2);
  final List<UpstreamId> excludedUpstreams = new ArrayList<>(2);
  Phase phase = Phase.WAITING_FOR_OWNER;
  Claimant claimant;
  long claimSentAtMillis;
  int attemptCount;
  int slotRequestCount;
  int backoffCount;
  long retryAtMillis;
  UpstreamId owner;
  long epoch;
  long isolatedKeyHash;
  boolean mayHaveRun;
  boolean callerDisconnected;
  boolean hedgePending;
  Attempt respondingAttempt;
  boolean streaming;
  long resumeOffset;
  String validator;
  SlotPool pool;
  RequestId slotRequestId;
  long slotRequestedAtMillis;

  RequestState(RoutingEvent.RequestArrived arrival, Service service, long keyHash, int shard) {
    this.arrival = arrival;
    this.service = service;
    this.keyHash = keyHash;
    this.shard = shard;
  }

  RequestId id() {
    return arrival.requestId();
  }

  long deadlineMillis() {
    return arrival.deadlineMillis();
  }

  boolean idempotent() {
    return arrival.idempotent();
  }

  Attempt attempt(int number) {
    for (Attempt attempt : runningAttempts) {
      if (attempt.number == number) {
        return attempt;
      }
    }
    return null;
  }

  /**
   * Returns a new id for a slot request.
   *
   * <p>It differs each time, so that late replies to earlier slot requests can be recognised.
   */
  RequestId nextSlotRequestId(long nowMillis) {
    slotRequestCount++;
    slotRequestId = slotRequestCount == 1 ? id() : RequestId.of(id() + "#" + slotRequestCount);
    slotRequestedAtMillis = nowMillis;
    return slotRequestId;
  }
}
