package dev.hornbeamwheel.core.dispatch;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.config.Upstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What a dispatcher knows of one upstream: its leases, its speed and its temperature. */
final class UpstreamSlots {
  /** Weight of the latest run in the expected run time. */
  private static final double RECENT_RUN_WEIGHT = 0.3;

  /** Weight of the latest run in the usual run time. */
  private static final double BASELINE_RUN_WEIGHT = 0.02;

  /** Time in which an observed deviation from the usual run time is half forgotten. */
  private static final double DEVIATION_HALF_LIFE_MILLIS = 200;

  /** Runs longer than the usual one by this factor are slow. */
  private static final double SLOW_FACTOR = 3;

  /** Time of only slow runs after which the upstream counts as cold. */
  private static final long MIN_SLOW_MILLIS = 1_000;

  /** Slow runs in that time before the upstream counts as cold. */
  private static final int MIN_SLOW_RUNS = 4;

  /** First pause after an upstream was lost; doubles with each further loss. */
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

  boolean hasFreeSlot(long nowMillis, boolean coldAllowed) {
    return leases.size() < upstream.slots()
        && nowMillis >= backoffUntilMillis
        && (rateLimiter.warm() || (coldAllowed && rateLimiter.canSend(nowMillis)));
  }

  void grant(Lease lease) {
    leases.put(lease.id, lease);
    rateLimiter.recordSend();
  }

  /** Counts a lease that was found in a router's report. */
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

  /** Returns the expected run time; a deviation is forgotten bit by bit without new runs. */
  double expectedRunMillis(long nowMillis) {
    double kept = Math.pow(0.5, (nowMillis - lastCompletionMillis) / DEVIATION_HALF_LIFE_MILLIS);
    return baselineRunMillis + (recentRunMillis - baselineRunMillis) * kept;
  }

  /** Returns how long the oldest running request has run; zero if none runs. */
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
   * Takes note of a shed request.
   *
   * @param allKnown whether no other requests than those under lease can have caused it
   */
  void recordShed(long nowMillis, boolean allKnown) {
    if (allKnown) {
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
