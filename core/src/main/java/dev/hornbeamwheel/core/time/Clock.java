package dev.hornbeamwheel.core.time;

import java.util.concurrent.TimeUnit;

/**
 * A source of monotonic time in milliseconds.
 *
 * <p>Readings of one clock may be compared with each other, never with those of another process.
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

  /** Returns the clock of this process, which never goes back. */
  static Clock monotonic() {
    return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /**
   * Returns a clock that never goes back and also counts the time for which the process was
   * suspended; for use by one thread.
   */
  static Clock countingSuspension() {
    return SuspensionClock.of(monotonic(), System::currentTimeMillis);
  }
}
