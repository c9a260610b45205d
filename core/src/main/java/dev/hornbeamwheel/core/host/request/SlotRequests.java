package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.RequestKind;
import dev.hornbeamwheel.core.host.cold.ColdAllowance;
import dev.hornbeamwheel.core.host.request.InFlightRequest.State;
import dev.hornbeamwheel.core.host.shares.ShareAllowance;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The slot requests of this host that the coordinator has not answered yet. */
final class SlotRequests {
  /** Time after which a wait is logged, in milliseconds. */
  private static final long LONG_WAIT_MILLIS = 1_000;

  private final Map<Long, InFlightRequest> waiting = new HashMap<>();
  private final ColdAllowance coldAllowance;
  private final ShareAllowance shares;
  private final List<RequestEffect> effects;
  private long latestDeadlineMillis = Long.MAX_VALUE;
  private long nextNumber = 1;
  private long resumedMillis = Long.MIN_VALUE;

  /**
   * Creates an empty collection.
   *
   * @param coldAllowance its lease is renewed along with slot requests
   * @param shares their lease is renewed along with slot requests, too
   * @param effects receives the effects
   */
  SlotRequests(ColdAllowance coldAllowance, ShareAllowance shares, List<RequestEffect> effects) {
    this.coldAllowance = coldAllowance;
    this.shares = shares;
    this.effects = effects;
  }

  /** Limits the deadlines of later slot requests, as this host serves none after a time. */
  void limitDeadlines(long latestMillis) {
    latestDeadlineMillis = latestMillis;
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  int count() {
    return waiting.size();
  }

  /** Cancels the slot requests of some of the requests that wait; returns these requests. */
  List<InFlightRequest> cancelIf(Predicate<InFlightRequest> condition) {
    List<InFlightRequest> cancelled = waiting.values().stream().filter(condition).toList();
    cancelled.forEach(this::cancel);
    return cancelled;
  }

  /** Returns the requests whose wait has become long since the last call. */
  List<InFlightRequest> takeLongWaits(long nowMillis) {
    List<InFlightRequest> waits =
        waiting.values().stream()
            .filter(request -> !request.longWait)
            .filter(request -> nowMillis - request.slotRequestedMillis >= LONG_WAIT_MILLIS)
            .toList();
    waits.forEach(request -> request.longWait = true);
    return waits;
  }

  /** Gives a request the number of its next slot request. */
  void number(long nowMillis, InFlightRequest request) {
    request.longWait = false;
    request.slotRequestNumber = nextNumber++;
    request.slotRequestedMillis = nowMillis;
  }

  /** Requests a slot from the coordinator. */
  void send(long nowMillis, InFlightRequest request, boolean suspect) {
    waiting.put(request.slotRequestNumber, request);
    effects.add(
        new RequestEffect.RequestSlot(
            request.slotRequestNumber,
            request.service,
            request.key(),
            request.priority(),
            request.trafficClass(),
            Math.max(0, Math.min(request.deadlineMillis, latestDeadlineMillis) - nowMillis),
            Math.max(0, request.targetMillis - nowMillis),
            request.route.kind() == RequestKind.IDEMPOTENT_LARGE,
            suspect,
            request.excludedUpstreams,
            coldAllowance.requestDue(nowMillis, request.slotRequestNumber),
            shares.requestDue(nowMillis, request.slotRequestNumber)));
  }

  /** Reports the slots of running requests to a new coordinator. */
  void reportHeld(Collection<InFlightRequest> requests) {
    requests.stream()
        .filter(request -> request.state == State.RUNNING)
        .forEach(
            request -> {
              request.decidedByCoordinator = true;
              effects.add(
                  new RequestEffect.ReportHeldSlot(
                      request.slotRequestNumber,
                      request.service,
                      request.key(),
                      request.upstream.id()));
            });
  }

  /** Removes the request of an answered slot request; empty if it does not wait for it any more. */
  Optional<InFlightRequest> answered(long number) {
    return Optional.ofNullable(waiting.remove(number))
        .filter(request -> request.state == State.AWAITING_SLOT)
        .filter(request -> request.slotRequestNumber == number);
  }

  void cancel(InFlightRequest request) {
    if (waiting.remove(request.slotRequestNumber) != null) {
      effects.add(new RequestEffect.CancelSlotRequest(request.slotRequestNumber));
    }
  }

  /** Releases the slot of an attempt that has ended, if the coordinator granted it. */
  void release(long nowMillis, InFlightRequest request, AttemptResult result) {
    if (request.decidedByCoordinator) {
      effects.add(
          new RequestEffect.ReleaseSlot(
              request.slotRequestNumber,
              request.upstream.id(),
              result.completion(),
              nowMillis - request.sentMillis,
              result.relativeWorkPercent()));
    }
  }

  /** Records that this process continues after it stood still. */
  void resumed(long nowMillis) {
    resumedMillis = nowMillis;
  }

  /**
   * Returns whether the slot of a request must not be used. While this process stood still, grants
   * of many seconds may have waited for it and for other hosts; an upstream that is cold, or became
   * so meanwhile, can't bear them at once.
   */
  boolean outdated(InFlightRequest request) {
    return request.slotRequestedMillis < resumedMillis;
  }
}
