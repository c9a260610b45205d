package dev.hornbeamwheel.core.time;

import java.util.concurrent.TimeUnit;

/**
 * A source of monotonic time in milliseconds.
 *
 * <p>Compare only readings of the same clock, never those of different processes.
 *
 * <pre>{@code
 * Clock clock = Clock.monotonic();
 * long deadline = clock.millis() + 250;
 * }</pre>
 */
@FunctionalInterface
public interface Clock {
  /** Returns the current reading in milliseconds. */
  long millis();

  /** Returns the monotonic clock of this process, which never goes back. */
  static Clock monotonic() {
    return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /**
   * Returns a monotonic clock that also counts the time for which the host was suspended; not safe
   * for use by several threads.
   */
  static SuspensionClock countingSuspension() {
    return SuspensionClock.of(monotonic(), System::currentTimeMillis);
  }
}
