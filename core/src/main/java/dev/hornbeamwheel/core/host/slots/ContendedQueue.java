package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.host.fairness.FairOrder;
import dev.hornbeamwheel.core.host.fairness.FairShares;
import dev.hornbeamwheel.core.host.fairness.HighQuantile;
import dev.hornbeamwheel.core.host.fairness.LateValue;
import dev.hornbeamwheel.core.host.fairness.Overload;
import dev.hornbeamwheel.core.host.fairness.Reservations;
import dev.hornbeamwheel.core.host.fairness.ShareGroup;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.RouteId;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests that compete for the same upstreams, those of one key owner or those without a key:
 * whether they are too many, who of them is served first, and which refused callers are expected.
 */
final class ContendedQueue implements ServiceOrder {
  private static final FairOrder<SlotRequest> ORDER =
      FairOrder.of(SlotRequest::priority, ContendedQueue::group);

  private final ServiceQueue queue;
  private final FairShares shares = new FairShares();
  private final Overload overload = new Overload();
  private final Reservations<Kind> reservations = new Reservations<>();
  private final Map<RouteId, Limits> limits = new HashMap<>();
  private final Demand demand = new Demand();

  /** The kind of request by which, besides its times, a refused caller is recognised. */
  record Kind(RouteId route, DataCentreId dataCentre) {}

  static Reservations.Caller<Kind> caller(SlotRequest request) {
    return new Reservations.Caller<>(
        new Kind(request.trafficClass().route(), request.dataCentre()),
        request.targetMillis(),
        request.deadlineMillis());
  }

  /** The usual target and deadline of new requests of a route, in milliseconds from arrival. */
  private static final class Limits {
    private final HighQuantile targetMillis = new HighQuantile();
    private final HighQuantile deadlineMillis = new HighQuantile();

    Limits record(SlotRequest request) {
      targetMillis.record(request.targetMillis() - request.arrivedMillis());
      deadlineMillis.record(request.deadlineMillis() - request.arrivedMillis());
      return this;
    }

    long targetMillis() {
      return Math.round(targetMillis.value());
    }

    long deadlineMillis() {
      return Math.round(deadlineMillis.value());
    }
  }

  ContendedQueue(ServiceQueue queue) {
    this.queue = queue;
  }

  static ShareGroup group(SlotRequest request) {
    return new ShareGroup(request.dataCentre(), request.trafficClass().organisation());
  }

  FairShares shares() {
    return shares;
  }

  boolean overloaded(long nowMillis) {
    return overload.active(nowMillis);
  }

  /** Records an arrival. A refused caller who comes back takes the place that was promised. */
  void recordArrival(long nowMillis, SlotRequest request) {
    demand.recordArrival(nowMillis, request.priority(), group(request));
    limits(request).record(request);
    if (reservations.take(nowMillis, caller(request))) {
      queue.markReturned(request.id());
    }
  }

  /** Records the expected start of a waiting request behind those ahead of it. */
  void recordStart(long nowMillis, SlotRequest request, long startMillis) {
    if (!queue.canMeetTarget(request, startMillis)
        && queue.canMeetTarget(request, request.arrivedMillis())) {
      overload.record(nowMillis, request.targetMillis() - request.arrivedMillis());
    }
  }

  /** Records that a request is refused because of the requests that take precedence. */
  void recordRefusal(long nowMillis, SlotRequest request) {
    overload.record(nowMillis, limits(request).targetMillis());
  }

  private Limits limits(SlotRequest request) {
    return limits.computeIfAbsent(
        request.trafficClass().route(), id -> new Limits().record(request));
  }

  /** Returns whether a request takes the place that a refused caller was promised. */
  boolean returned(SlotRequest request) {
    return queue.hasReturned(request.id());
  }

  /** Returns whether a request can no longer be answered in time, and holds no reservation. */
  boolean late(SlotRequest request, long nowMillis) {
    return !queue.canMeetTarget(request, nowMillis) && !returned(request);
  }

  /** Returns the number of refused callers that were promised a slot before a new request. */
  private int expectedReturns(long nowMillis, SlotRequest request, long startMillis) {
    return request.arrivedMillis() == nowMillis && !returned(request)
        ? reservations.expected(nowMillis, startMillis)
        : 0;
  }

  /**
   * Returns the time at which a request is expected to start, as far as its own share is concerned.
   *
   * @param ahead requests of the same share that precede it
   * @param throughput throughput of the upstreams, in requests per second
   * @param overtakingFraction fraction of the later requests of its share that overtake a request
   *     which cannot meet its target
   */
  long startMillis(
      long nowMillis,
      SlotRequest request,
      int ahead,
      double throughput,
      double overtakingFraction) {
    ShareGroup group = group(request);
    double share = demand.sharePerSecond(nowMillis, request.priority(), group, throughput);
    long startMillis = StartEstimator.startAfterMillis(nowMillis, ahead, share);
    recordStart(nowMillis, request, startMillis);
    int expected = expectedReturns(nowMillis, request, startMillis);
    startMillis = StartEstimator.startAfterMillis(nowMillis, ahead + expected, share);
    if (returned(request) || meetsTarget(nowMillis, request, startMillis)) {
      return startMillis;
    }
    double overtaking = overtakingFraction * demand.perSecond(nowMillis, request.priority(), group);
    return StartEstimator.startAfterMillis(nowMillis, ahead + expected, share - overtaking);
  }

  /**
   * Returns whether a request that starts at a time is expected to be answered in time; a new
   * request is admitted only if that is likely.
   */
  private boolean meetsTarget(long nowMillis, SlotRequest request, long startMillis) {
    if (request.arrivedMillis() < nowMillis) {
      return queue.canMeetTarget(request, startMillis);
    }
    return startMillis + queue.runMarginMillis(request) <= request.targetMillis();
  }

  /** Forgets the shares that are not used any more. */
  void removeUnused(long nowMillis) {
    shares.removeUnused(queue.meanRunMillis());
    demand.removeUnused(nowMillis);
  }

  /**
   * Returns when a refused caller should come back, and reserves capacity for its return if it can
   * still be answered in time then. A later return is not promised a slot, since it would displace
   * requests that can be answered in time; its time is the latest one.
   *
   * @param readyMillis time from which the upstreams can serve the request
   * @param maxRetryAfterMillis longest delay of the return
   * @param perSecond throughput of the upstreams, in requests per second
   */
  long reserveRetryMillis(
      long nowMillis,
      SlotRequest request,
      long readyMillis,
      long maxRetryAfterMillis,
      double perSecond) {
    long latestMillis = nowMillis + maxRetryAfterMillis;
    long lastInTimeMillis = request.targetMillis() - Math.round(queue.runMarginMillis(request));
    long earliestMillis = nowMillis + StartEstimator.MIN_RETRY_AFTER_MILLIS;
    return reservations
        .reserve(
            nowMillis,
            caller(request),
            Math.max(readyMillis, earliestMillis),
            Math.min(latestMillis, lastInTimeMillis),
            reservablePerSecond(nowMillis, request, perSecond))
        .orElse(latestMillis);
  }

  /**
   * Returns the part of the throughput that may be reserved: the value of a late response relative
   * to one in time. A promise displaces a new request for a caller who may not come back, so only
   * this part is promised. Throughput that more urgent requests need is not promised.
   */
  private double reservablePerSecond(long nowMillis, SlotRequest request, double perSecond) {
    Limits usual = limits(request);
    double lateValue = LateValue.of(usual.targetMillis(), usual.deadlineMillis());
    double moreUrgent = demand.moreUrgentPerSecond(nowMillis, request.priority());
    return Math.max(0, perSecond - moreUrgent) * lateValue;
  }

  @Override
  public List<SlotRequest> sort(long nowMillis, Collection<SlotRequest> requests) {
    return ORDER.sort(requests, shares, request -> late(request, nowMillis), queue.meanRunMillis());
  }

  @Override
  public int countAhead(long nowMillis, Collection<SlotRequest> requests, SlotRequest last) {
    int ahead = 0;
    for (SlotRequest request : sort(nowMillis, requests)) {
      if (request.id().equals(last.id())) {
        break;
      }
      ahead++;
    }
    return ahead;
  }

  /**
   * Returns the number of requests of the same share that precede the latest one. Within a share
   * the order is priority, lateness and arrival.
   */
  int countAheadInShare(long nowMillis, Collection<SlotRequest> requests, SlotRequest last) {
    ShareGroup group = group(last);
    long urgency = urgency(nowMillis, last);
    return (int)
        requests.stream()
            .filter(request -> group(request).equals(group))
            .filter(request -> urgency(nowMillis, request) <= urgency)
            .filter(request -> !request.id().equals(last.id()))
            .count();
  }

  private long urgency(long nowMillis, SlotRequest request) {
    return 2L * request.priority() + (late(request, nowMillis) ? 1 : 0);
  }
}
