package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.fairness.LateValue;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Optional;

/**
 * Estimates when a waiting request gets a slot, and when a refused one should be retried.
 *
 * <p>The key owner given with a request is the only upstream that can serve it; it is empty for a
 * request without a key and for an unknown owner.
 */
final class StartEstimator {
  /** Minimum retry delay of a refused request, in milliseconds. */
  static final long MIN_RETRY_AFTER_MILLIS = 40;

  /** Fraction of the mean run time that must remain before the deadline when a request starts. */
  private static final double MIN_RUN_FRACTION = 0.7;

  /** Fraction of the later requests that overtake a request which cannot meet its target. */
  private static final double OVERTAKING_FRACTION = 0.8;

  /** Utilization of a service above which hot keys cannot be moved to less loaded upstreams. */
  private static final double SATURATION_UTILIZATION = 0.7;

  /** Throughput up to which no request is expected to start, in requests per second. */
  private static final double MIN_THROUGHPUT_PER_SECOND = 0.1;

  private final Catalog catalog;
  private final KeyLookup keyLookup;
  private final UpstreamLoads loads;

  StartEstimator(Catalog catalog, KeyLookup keyLookup, UpstreamLoads loads) {
    this.catalog = catalog;
    this.keyLookup = keyLookup;
    this.loads = loads;
  }

  /** Returns whether the request rate of a service is close to the throughput of its upstreams. */
  boolean isSaturated(long nowMillis, ServiceId service, ServiceQueue queue) {
    return queue.arrivalsPerSecond(nowMillis)
        > SATURATION_UTILIZATION * loads.requestsPerSecond(nowMillis, service);
  }

  /** Returns the time at which a request behind a backlog is expected to get a slot. */
  long startMillis(
      long nowMillis,
      ServiceQueue queue,
      SlotRequest request,
      Optional<UpstreamId> keyOwner,
      Backlog backlog) {
    long startMillis = startInQueueMillis(nowMillis, queue, request, keyOwner, backlog);
    if (queue.hasFairShares() && missesDeadline(queue, request, startMillis)) {
      queue.contended(keyOwner).recordRefusal(nowMillis, request);
    }
    if (queue.sharesOverload(nowMillis, keyOwner)) {
      startMillis = startInShareMillis(nowMillis, queue, request, keyOwner, backlog);
    }
    return request.key().isEmpty()
        ? startMillis
        : Math.max(startMillis, ownerReadyMillis(nowMillis, request, keyOwner));
  }

  private long startInQueueMillis(
      long nowMillis,
      ServiceQueue queue,
      SlotRequest request,
      Optional<UpstreamId> keyOwner,
      Backlog backlog) {
    double throughput = throughput(nowMillis, queue, request, keyOwner);
    long startMillis = startAfterMillis(nowMillis, backlog.ahead(keyOwner), throughput);
    if (queue.hasFairShares()) {
      queue.contended(keyOwner).recordStart(nowMillis, request, startMillis);
    }
    boolean offloadable = request.key().isPresent() && !backlog.serviceSaturated();
    if (!queue.canMeetTarget(request, startMillis) && !offloadable) {
      // Later requests that can meet their target take precedence over this one.
      double overtakingPerSecond =
          OVERTAKING_FRACTION * queue.arrivalsPerSecond(nowMillis, keyOwner);
      startMillis =
          startAfterMillis(nowMillis, backlog.ahead(keyOwner), throughput - overtakingPerSecond);
    }
    return startMillis;
  }

  /** Returns when a request gets a slot from its share of an overloaded service. */
  private long startInShareMillis(
      long nowMillis,
      ServiceQueue queue,
      SlotRequest request,
      Optional<UpstreamId> keyOwner,
      Backlog backlog) {
    ContendedQueue contended = queue.contended(keyOwner);
    int ahead = backlog.aheadInShare(keyOwner, ContendedQueue.group(request));
    double throughput = throughput(nowMillis, queue, request, keyOwner);
    boolean offloadable = request.key().isPresent() && !backlog.serviceSaturated();
    double overtakingFraction = offloadable ? 0 : OVERTAKING_FRACTION;
    return contended.startMillis(nowMillis, request, ahead, throughput, overtakingFraction);
  }

  /**
   * Returns whether a waiting request that can no longer be answered in time is refused, as others
   * that can be take its place until its caller could be back.
   */
  static boolean yields(
      long nowMillis,
      ServiceQueue queue,
      SlotRequest request,
      Optional<UpstreamId> keyOwner,
      long startMillis) {
    return queue.sharesOverload(nowMillis, keyOwner)
        && queue.contended(keyOwner).late(request, nowMillis)
        && LateValue.refuseEarly(
            startMillis - nowMillis,
            request.deadlineMillis() - nowMillis,
            queue.meanRunMillis(request));
  }

  /** Returns whether a request that starts at a time is expected to miss its deadline. */
  static boolean missesDeadline(ServiceQueue queue, SlotRequest request, long startMillis) {
    return startMillis + queue.meanRunMillis(request) * MIN_RUN_FRACTION > request.deadlineMillis();
  }

  /**
   * Returns the delay after which a refused request should be retried, and reserves that time in
   * the queue.
   *
   * @param startMillis time at which the request would have got a slot
   */
  long reserveRetryAfterMillis(
      long nowMillis,
      ServiceQueue queue,
      SlotRequest request,
      Optional<UpstreamId> keyOwner,
      long startMillis) {
    long maxRetryAfterMillis =
        Math.max(0, request.deadlineMillis() - nowMillis) / LateValue.RETRY_AFTER_DIVISOR;
    long readyMillis =
        request.key().isEmpty() ? nowMillis : ownerReadyMillis(nowMillis, request, keyOwner);
    double perSecond = throughput(nowMillis, queue, request, keyOwner);
    if (queue.sharesOverload(nowMillis, keyOwner)) {
      return queue
              .contended(keyOwner)
              .reserveRetryMillis(nowMillis, request, readyMillis, maxRetryAfterMillis, perSecond)
          - nowMillis;
    }
    double gapMillis = 1_000 / Math.max(0.5, perSecond);
    long halfwayMillis = nowMillis + Math.min(startMillis - nowMillis, maxRetryAfterMillis) / 2;
    long earliestMillis =
        Math.max(halfwayMillis, Math.min(readyMillis, nowMillis + maxRetryAfterMillis));
    long returnAfterMillis =
        queue.reserveRetryMillis(nowMillis, keyOwner, earliestMillis, gapMillis) - nowMillis;
    return Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(returnAfterMillis, maxRetryAfterMillis));
  }

  static long startAfterMillis(long nowMillis, int ahead, double perSecond) {
    return perSecond <= MIN_THROUGHPUT_PER_SECOND
        ? Long.MAX_VALUE / 4
        : nowMillis + Math.round((ahead + 0.5) * 1_000 / perSecond);
  }

  private long ownerReadyMillis(
      long nowMillis, SlotRequest request, Optional<UpstreamId> keyOwner) {
    long holderReadyMillis =
        keyLookup.readyMillis(nowMillis, request.service(), request.key().orElseThrow());
    return keyOwner
        .flatMap(loads::find)
        .map(load -> Math.max(holderReadyMillis, load.backoffUntilMillis()))
        .orElse(holderReadyMillis);
  }

  /**
   * Returns the throughput available to a request and its competitors, in requests per second: that
   * of the key owner, or that of the whole service for a request without a key.
   */
  private double throughput(
      long nowMillis, ServiceQueue queue, SlotRequest request, Optional<UpstreamId> keyOwner) {
    if (request.key().isPresent()) {
      return keyOwner
          .flatMap(catalog::upstream)
          .map(entry -> loads.startsPerSecond(nowMillis, entry))
          .orElseGet(() -> 2_000 / queue.meanRunMillis());
    }
    return loads.requestsPerSecond(nowMillis, request.service());
  }
}
