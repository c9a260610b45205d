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
  private static final double RUN_WEIGHT = 0.3;

  /** Weight of the latest run in the usual run time. */
  private static final double USUAL_WEIGHT = 0.02;

  /** Time in which an observed deviation from the usual run time is half forgotten. */
  private static final double FORGET_HALF_MILLIS = 200;

  /** Runs longer than the usual one by this factor are slow. */
  private static final double SLOW_FACTOR = 3;

  /** Time of only slow runs after which the upstream counts as cold. */
  private static final long SLOW_MILLIS = 1_000;

  /** Slow runs in that time before the upstream counts as cold. */
  private static final int SLOW_RUNS = 4;

  /** First pause after an upstream was lost; doubles with each further loss. */
  private static final long FIRST_PAUSE_MILLIS = 100;

  private static final int MAX_PAUSE_DOUBLINGS = 5;

  final Upstream upstream;
  final Ramp ramp;
  private final Map<Long, Lease> leases = new HashMap<>();
  private double usualRunMillis;
  private double recentRunMillis;
  private long recentAtMillis;
  private long slowSinceMillis = -1;
  private int slowRuns;
  private int losses;
  private long pausedUntilMillis;

  UpstreamSlots(Upstream upstream, ColdStart coldStart) {
    this.upstream = upstream;
    this.ramp = new Ramp(upstream.id(), coldStart);
  }

  boolean free(long nowMillis, boolean coldAllowed) {
    return leases.size() < upstream.slots()
        && nowMillis >= pausedUntilMillis
        && (ramp.warm() || (coldAllowed && ramp.admits(nowMillis)));
  }

  void grant(Lease lease) {
    leases.put(lease.id, lease);
    ramp.admitted();
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

  double busyShare() {
    return (double) leases.size() / upstream.slots();
  }

  /** Returns the expected run time; a deviation is forgotten bit by bit without new runs. */
  double expectedRunMillis(long nowMillis) {
    double kept = Math.pow(0.5, (nowMillis - recentAtMillis) / FORGET_HALF_MILLIS);
    return usualRunMillis + (recentRunMillis - usualRunMillis) * kept;
  }

  /** Returns how long the oldest running request has run; zero if none runs. */
  long oldestRunMillis(long nowMillis) {
    long oldest = 0;
    for (Lease lease : leases.values()) {
      oldest = Math.max(oldest, nowMillis - lease.busySinceMillis);
    }
    return oldest;
  }

  void ran(long nowMillis, long runMillis, long incarnation) {
    losses = 0;
    ramp.completed(nowMillis, incarnation);
    judgeSpeed(nowMillis, runMillis);
    recentRunMillis = expectedRunMillis(nowMillis) * (1 - RUN_WEIGHT) + runMillis * RUN_WEIGHT;
    recentAtMillis = nowMillis;
    usualRunMillis =
        usualRunMillis == 0
            ? runMillis
            : usualRunMillis * (1 - USUAL_WEIGHT) + runMillis * USUAL_WEIGHT;
  }

  /**
   * Takes note of a shed request.
   *
   * @param allKnown whether no other requests than those under lease can have caused it
   */
  void shed(long nowMillis, boolean allKnown) {
    if (allKnown) {
      ramp.chill(nowMillis);
    } else {
      pausedUntilMillis = nowMillis + FIRST_PAUSE_MILLIS;
    }
  }

  void lost(long nowMillis) {
    ramp.chill(nowMillis);
    pausedUntilMillis = nowMillis + (FIRST_PAUSE_MILLIS << Math.min(losses, MAX_PAUSE_DOUBLINGS));
    losses++;
  }

  void restarted(long nowMillis, long incarnation) {
    ramp.seen(nowMillis, incarnation);
    pausedUntilMillis = nowMillis;
  }

  private void judgeSpeed(long nowMillis, long runMillis) {
    if (usualRunMillis == 0 || runMillis < SLOW_FACTOR * usualRunMillis) {
      slowSinceMillis = -1;
      slowRuns = 0;
      return;
    }
    slowSinceMillis = slowSinceMillis < 0 ? nowMillis : slowSinceMillis;
    slowRuns++;
    if (slowRuns >= SLOW_RUNS && nowMillis - slowSinceMillis >= SLOW_MILLIS) {
      ramp.chill(nowMillis);
      slowSinceMillis = nowMillis;
      slowRuns = 0;
    }
  }
}
