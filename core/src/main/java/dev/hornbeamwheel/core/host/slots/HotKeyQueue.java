package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.host.fairness.LateValue;
import dev.hornbeamwheel.core.host.fairness.Reservations;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The requests that wait for one hot key, and the callers that were refused and promised a slot.
 *
 * <p>New requests are admitted only if they can be answered in time, promised ones if they can be
 * answered before their deadline. All others are refused at once, as each late response takes the
 * place of one in time.
 */
final class HotKeyQueue {
  private final Map<SlotRequestId, SlotRequest> waiting = new LinkedHashMap<>();
  private final Set<SlotRequestId> returned = new HashSet<>();
  private final Reservations<ContendedQueue.Kind> reservations = new Reservations<>();

  /** Adds a request; a refused caller who comes back takes the place that was promised. */
  void add(long nowMillis, SlotRequest request) {
    waiting.put(request.id(), request);
    if (reservations.take(nowMillis, ContendedQueue.caller(request))) {
      returned.add(request.id());
    }
  }

  boolean contains(SlotRequest request) {
    return waiting.containsKey(request.id());
  }

  Stream<SlotRequest> waiting() {
    return waiting.values().stream();
  }

  void remove(SlotRequestId requestId) {
    waiting.remove(requestId);
    returned.remove(requestId);
  }

  void removeIf(Predicate<SlotRequestId> removed) {
    waiting.keySet().removeIf(removed);
    returned.removeIf(removed);
  }

  /** Returns the waiting requests, the most urgent ones first and of these the earliest. */
  List<SlotRequest> inServiceOrder() {
    return waiting().sorted(Comparator.comparingInt(SlotRequest::priority)).toList();
  }

  /**
   * Returns when a waiting request is expected to start, behind the requests ahead of it and the
   * promised returns.
   *
   * @param perSecond rate at which requests for the key may start
   */
  long startMillis(long nowMillis, SlotRequest request, double perSecond) {
    int ahead =
        (int)
            waiting.values().stream()
                .takeWhile(other -> !other.id().equals(request.id()))
                .filter(other -> other.priority() <= request.priority())
                .count();
    long startMillis = StartEstimator.startAfterMillis(nowMillis, ahead, perSecond);
    return returned.contains(request.id())
        ? startMillis
        : StartEstimator.startAfterMillis(
            nowMillis, ahead + reservations.expected(nowMillis, startMillis), perSecond);
  }

  /**
   * Returns whether a request that starts at a time is admitted: a promised one if it is answered
   * before its deadline, any other if it is likely to be answered in time.
   */
  boolean admits(ServiceQueue service, SlotRequest request, long startMillis) {
    return returned.contains(request.id())
        ? !StartEstimator.missesDeadline(service, request, startMillis)
        : startMillis + service.runMarginMillis(request) <= request.targetMillis();
  }

  /**
   * Returns the delay after which a refused request should be retried. Returns are spaced by the
   * part of the capacity that late responses are worth; beyond that, callers come back as late as
   * they can.
   */
  long retryAfterMillis(long nowMillis, SlotRequest request, long startMillis, double perSecond) {
    long remainingMillis = Math.max(0, request.deadlineMillis() - nowMillis);
    long latestMillis =
        nowMillis
            + Math.max(
                StartEstimator.MIN_RETRY_AFTER_MILLIS,
                remainingMillis / LateValue.RETRY_AFTER_DIVISOR);
    long earliestMillis = Math.max(startMillis, nowMillis + StartEstimator.MIN_RETRY_AFTER_MILLIS);
    double lateValue =
        LateValue.of(
            request.targetMillis() - request.arrivedMillis(),
            request.deadlineMillis() - request.arrivedMillis());
    return reservations
            .reserve(
                nowMillis,
                ContendedQueue.caller(request),
                Math.min(earliestMillis, latestMillis),
                latestMillis,
                perSecond * lateValue)
            .orElse(latestMillis)
        - nowMillis;
  }
}
