package dev.hornbeamwheel.standins.platform;

import dev.hornbeamwheel.core.time.Clock;

/** A token bucket that holds the permits of one second. */
final class RateLimit {
  private static final long MILLIS_PER_SECOND = 1000;

  private final Clock clock;
  private final long perSecond;
  private long milliPermits;
  private long refilledAtMillis;

  RateLimit(Clock clock, long perSecond) {
    this.clock = clock;
    this.perSecond = perSecond;
    this.milliPermits = perSecond * MILLIS_PER_SECOND;
    this.refilledAtMillis = clock.millis();
  }

  /** Takes one permit if there is one. */
  synchronized boolean tryAcquire() {
    long now = clock.millis();
    long refill = (now - refilledAtMillis) * perSecond;
    milliPermits = Math.min(perSecond * MILLIS_PER_SECOND, milliPermits + refill);
    refilledAtMillis = now;
    if (milliPermits < MILLIS_PER_SECOND) {
      return false;
    }
    milliPermits -= MILLIS_PER_SECOND;
    return true;
  }
}
