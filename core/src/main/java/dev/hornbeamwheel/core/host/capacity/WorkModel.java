package dev.hornbeamwheel.core.host.capacity;

import dev.hornbeamwheel.core.model.RouteId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashMap;
import java.util.Map;

/**
 * The run times of one service: the mean work of each kind of request, times the slowness of each
 * upstream.
 *
 * <p>Both are learned from the same run times. The work of a kind is learned from run times divided
 * by the slowness of the upstream, and the slowness from run times divided by the work of the kind,
 * so that an upstream that received long requests does not count as slow. The mean slowness over
 * all requests is one.
 */
public final class WorkModel {
  /** Run time assumed before any request was served, in milliseconds. */
  private static final double INITIAL_RUN_MILLIS = 150;

  /** Weight of the latest request in the mean work over all kinds. */
  private static final double MIX_WEIGHT = 0.05;

  /**
   * Ratio to the expected run time at which a run time is clipped before it enters the slowness; a
   * single long run would otherwise make an upstream look much slower.
   */
  private static final double MAX_RATIO = 2;

  private final Map<RouteId, KindWork> kinds = new HashMap<>();
  private final Map<UpstreamId, UpstreamSlowness> slownesses = new HashMap<>();
  private double meanMillis = INITIAL_RUN_MILLIS;
  private double samples;

  /** Returns a model that has seen no request. */
  public static WorkModel create() {
    return new WorkModel();
  }

  private WorkModel() {}

  /** Returns the mean run time of all recent requests of the service, in milliseconds. */
  public double meanRunMillis() {
    return meanMillis;
  }

  /** Returns the mean run time of a kind of request, in milliseconds. */
  public double meanRunMillis(RouteId route) {
    KindWork kind = kinds.get(route);
    return kind == null ? meanMillis : kind.meanMillis();
  }

  /** Returns the mean run time of all kinds at an upstream, in milliseconds. */
  public double meanRunMillis(UpstreamId upstream) {
    return meanMillis * slowness(upstream);
  }

  /** Returns the expected run time of a kind of request at an upstream, in milliseconds. */
  public double expectedRunMillis(RouteId route, UpstreamId upstream) {
    return meanRunMillis(route) * slowness(upstream);
  }

  /** Returns the run times of an upstream relative to the mean of its service; one if unknown. */
  public double slowness(UpstreamId upstream) {
    return upstream(upstream).value();
  }

  /** Returns the slowness of an upstream, as a mutable object. */
  UpstreamSlowness upstream(UpstreamId upstream) {
    return slownesses.computeIfAbsent(upstream, id -> new UpstreamSlowness());
  }

  /**
   * Returns the ratio of a run time to the usual one of its kind over a longer past, which does not
   * follow the waves of demand.
   */
  public double relativeRun(RouteId route, long runMillis) {
    KindWork kind = kinds.get(route);
    return Math.max(1, runMillis) / (kind == null ? meanMillis : kind.referenceMillis());
  }

  /** Returns whether enough requests of a kind were served to compare upstreams by them. */
  public boolean knows(RouteId route) {
    KindWork kind = kinds.get(route);
    return kind != null && kind.confidence() > 0.5;
  }

  /** Records the run time of a served request, in milliseconds. */
  public void recordServed(long nowMillis, RouteId route, UpstreamId upstream, long runMillis) {
    KindWork kind = kinds.computeIfAbsent(route, id -> new KindWork(nowMillis, meanMillis));
    UpstreamSlowness upstreamSlowness = upstream(upstream);
    double slowness = upstreamSlowness.value();
    double ratio = clippedRatio(kind, slowness, runMillis);
    upstreamSlowness.record(ratio / kind.clippedRatio(), kind.confidence());
    kind.recordClippedRatio(ratio);
    kind.record(nowMillis, measured(runMillis) / slowness);
    double weight = Math.max(MIX_WEIGHT, 1 / (samples + 2));
    meanMillis += weight * (kind.meanMillis() - meanMillis);
    samples++;
  }

  /** Records a request that has run for a time, in milliseconds, and would have run longer. */
  public void recordTimedOut(RouteId route, UpstreamId upstream, long runMillis) {
    KindWork kind = kinds.get(route);
    if (kind != null) {
      UpstreamSlowness slowness = upstream(upstream);
      double ratio = clippedRatio(kind, slowness.value(), runMillis);
      slowness.record(Math.max(ratio / kind.clippedRatio(), slowness.value()), kind.confidence());
    }
  }

  /** Removes what is known of an upstream that no longer exists. */
  public void remove(UpstreamId upstream) {
    slownesses.remove(upstream);
  }

  private static double clippedRatio(KindWork kind, double slowness, long runMillis) {
    return Math.min(measured(runMillis) / Math.max(1, kind.meanMillis()), MAX_RATIO * slowness);
  }

  /** Returns a run time as it is used; shorter ones than a millisecond are not measured. */
  private static double measured(long runMillis) {
    return Math.max(1, runMillis);
  }
}
