package dev.hornbeamwheel.core.dispatch;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.config.Upstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Holds a dispatcher's state of one upstream: its leases, run times and warm-up state. */
final class UpstreamSlots {
  /** Weight of the latest run in the recent run time (a moving average). */
  private static final double RECENT_RUN_WEIGHT = 0.3;

  /** Weight of the latest run in the baseline run time (a moving average). */
  private static final double BASELINE_RUN_WEIGHT = 0.02;

  /** Half-life of the recent run time's deviation from the baseline while nothing completes. */
  private static final double DEVIATION_HALF_LIFE_MILLIS = 200;

  /** A run is slow if it takes at least this many times the baseline run time. */
  private static final double SLOW_FACTOR = 3;

  /** How long every run must have been slow before the upstream is treated as cold. */
  private static final long MIN_SLOW_MILLIS = 1_000;

  /** Consecutive slow runs before the upstream is treated as cold. */
  private static final int MIN_SLOW_RUNS = 4;

  /** Backoff after a shed request or a first loss; doubles with each consecutive loss. */
  private static final long INITIAL_BACKOFF_MILLIS = 100;

  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  final Upstream upstream;
  final WarmUpRateLimiter rateLimiter;
  private final Map<Long, Lease> leases = new HashMap<>();
  private double baselineRunMillis;
  private double recentRunMillis;
  private long lastCompletionMillis;
  private long slowSinceMillis = -1;
  private int slowRuns;
  private int consecutiveLosses;
  private long backoffUntilMillis;

  UpstreamSlots(Upstream upstream, ColdStart coldStart) {
    this.upstream = upstream;
    this.rateLimiter = new WarmUpRateLimiter(upstream.id(), coldStart);
  }

  /**
   * Returns whether a slot can be granted now.
   *
   * @param coldAllowed whether a cold upstream may be used at all
   */
  boolean hasFreeSlot(long nowMillis, boolean coldAllowed) {
    return leases.size() < upstream.slots()
        && nowMillis >= backoffUntilMillis
        && (rateLimiter.warm() || (coldAllowed && rateLimiter.canSend(nowMillis)));
  }

  void grant(Lease lease) {
    leases.put(lease.id, lease);
    rateLimiter.recordSend();
  }

  /** Adds a lease that a router reported in a heartbeat; it takes no rate limit token. */
  void adopt(Lease lease) {
    leases.put(lease.id, lease);
  }

  Lease lease(long id) {
    return leases.get(id);
  }

  List<Lease> leases() {
    return new ArrayList<>(leases.values());
  }

  Lease remove(long id) {
    return leases.remove(id);
  }

  double leasedFraction() {
    return (double) leases.size() / upstream.slots();
  }

  /** Returns the expected run time, which decays to the baseline while nothing completes. */
  double expectedRunMillis(long nowMillis) {
    double deviationWeight =
        Math.pow(0.5, (nowMillis - lastCompletionMillis) / DEVIATION_HALF_LIFE_MILLIS);
    return baselineRunMillis + (recentRunMillis - baselineRunMillis) * deviationWeight;
  }

  /** Returns how long the longest-running request has run; zero if none is running. */
  long oldestRunMillis(long nowMillis) {
    long oldest = 0;
    for (Lease lease : leases.values()) {
      oldest = Math.max(oldest, nowMillis - lease.busySinceMillis);
    }
    return oldest;
  }

  void recordCompletion(long nowMillis, long runMillis, long incarnation) {
    consecutiveLosses = 0;
    rateLimiter.recordCompletion(nowMillis, incarnation);
    detectSlowRuns(nowMillis, runMillis);
    recentRunMillis =
        expectedRunMillis(nowMillis) * (1 - RECENT_RUN_WEIGHT) + runMillis * RECENT_RUN_WEIGHT;
    lastCompletionMillis = nowMillis;
    baselineRunMillis =
        baselineRunMillis == 0
            ? runMillis
            : baselineRunMillis * (1 - BASELINE_RUN_WEIGHT) + runMillis * BASELINE_RUN_WEIGHT;
  }

  /**
   * Records that the upstream shed a request.
   *
   * @param allLeasesKnown whether all requests running on it are under known leases; if not, they
   *     may have caused the shedding, and the upstream is not treated as cold
   */
  void recordShed(long nowMillis, boolean allLeasesKnown) {
    if (allLeasesKnown) {
      rateLimiter.markCold(nowMillis);
    } else {
      backoffUntilMillis = nowMillis + INITIAL_BACKOFF_MILLIS;
    }
  }

  void recordLoss(long nowMillis) {
    rateLimiter.markCold(nowMillis);
    backoffUntilMillis =
        nowMillis + (INITIAL_BACKOFF_MILLIS << Math.min(consecutiveLosses, MAX_BACKOFF_DOUBLINGS));
    consecutiveLosses++;
  }

  /** Records an incarnation of the upstream and ends its backoff. */
  void observeIncarnation(long nowMillis, long incarnation) {
    rateLimiter.observeIncarnation(nowMillis, incarnation);
    backoffUntilMillis = nowMillis;
  }

  private void detectSlowRuns(long nowMillis, long runMillis) {
    if (baselineRunMillis == 0 || runMillis < SLOW_FACTOR * baselineRunMillis) {
      slowSinceMillis = -1;
      slowRuns = 0;
      return;
    }
    slowSinceMillis = slowSinceMillis < 0 ? nowMillis : slowSinceMillis;
    slowRuns++;
    if (slowRuns >= MIN_SLOW_RUNS && nowMillis - slowSinceMillis >= MIN_SLOW_MILLIS) {
      rateLimiter.markCold(nowMillis);
      slowSinceMillis = nowMillis;
      slowRuns = 0;
    }
  }
}
