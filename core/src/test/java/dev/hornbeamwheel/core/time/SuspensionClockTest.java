package dev.hornbeamwheel.core.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Tests that the clock counts suspension, and never runs faster than true time without one. */
final class SuspensionClockTest {
  private static final long MICROS_PER_MILLI = 1_000;

  /** Each reading is cut to whole milliseconds; two of them bound a measured time. */
  private static final long RESOLUTION_MILLIS = 1;

  private static final long MEASURED_MILLIS = 5_000;

  /** True time, and the two sources of the clock, which change their millisecond separately. */
  private static final class Sources {
    private long trueMicros;
    private long monotonicPhaseMicros;
    private long timeOfDayPhaseMicros;
    private long suspendedMicros;

    /** Runs before each reading of a source, for instance to let time pass between readings. */
    private Runnable beforeReading = () -> {};

    SuspensionClock clock() {
      return SuspensionClock.of(this::monotonicMillis, this::timeOfDayMillis);
    }

    private long monotonicMillis() {
      beforeReading.run();
      return (trueMicros - suspendedMicros + monotonicPhaseMicros) / MICROS_PER_MILLI;
    }

    private long timeOfDayMillis() {
      beforeReading.run();
      return (trueMicros + timeOfDayPhaseMicros) / MICROS_PER_MILLI;
    }
  }

  // Guards against two owners of a key: the clock of a busy coordinator ran up to twice as fast as
  // true time, and grants counted as expired while their upstreams still held the keys.
  @Property(tries = 200, seed = "2026120501")
  void neverRunsFasterThanTrueTimeHoweverOftenItIsRead(
      @ForAll @IntRange(max = 999) int monotonicPhaseMicros,
      @ForAll @IntRange(max = 999) int timeOfDayPhaseMicros,
      @ForAll @IntRange(min = 1, max = 4_000) int maxMicrosBetweenReadings,
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    Sources sources = new Sources();
    sources.monotonicPhaseMicros = monotonicPhaseMicros;
    sources.timeOfDayPhaseMicros = timeOfDayPhaseMicros;
    Random random = new Random(seed);
    SuspensionClock clock = sources.clock();
    long start = clock.millis();

    while (sources.trueMicros < MEASURED_MILLIS * MICROS_PER_MILLI) {
      sources.trueMicros += 1 + random.nextInt(maxMicrosBetweenReadings);
      clock.millis();
    }

    long trueMillis = sources.trueMicros / MICROS_PER_MILLI;
    assertThat(clock.millis() - start)
        .isBetween(trueMillis - RESOLUTION_MILLIS, trueMillis + RESOLUTION_MILLIS);
  }

  // Guards against a clock that gains time whenever the process loses its processor during a
  // reading.
  @Property(tries = 50, seed = "2026120502")
  void neverRunsFasterWhenReadingsAreInterrupted(
      @ForAll @IntRange(max = 999) int phaseMicros,
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    Sources sources = new Sources();
    sources.monotonicPhaseMicros = phaseMicros;
    SuspensionClock clock = sources.clock();
    long start = clock.millis();
    Random random = new Random(seed);
    sources.beforeReading =
        () -> {
          if (random.nextInt(20) == 0) {
            sources.trueMicros += random.nextInt(60_000);
          }
        };

    while (sources.trueMicros < MEASURED_MILLIS * MICROS_PER_MILLI) {
      sources.trueMicros += 1 + random.nextInt(500);
      clock.millis();
    }

    sources.beforeReading = () -> {};
    long trueMillis = sources.trueMicros / MICROS_PER_MILLI;
    assertThat(clock.millis() - start)
        .isBetween(trueMillis - RESOLUTION_MILLIS, trueMillis + RESOLUTION_MILLIS);
    assertThat(clock.suspendedMillis()).isZero();
  }

  @Test
  void continuesWhenTheTimeOfDayIsSetBack() {
    Sources sources = new Sources();
    SuspensionClock clock = sources.clock();
    long start = clock.millis();

    sources.timeOfDayPhaseMicros = -60_000 * MICROS_PER_MILLI;
    sources.trueMicros += 500 * MICROS_PER_MILLI;

    assertThat(clock.millis() - start).isEqualTo(500);
    assertThat(clock.suspendedMillis()).isZero();
  }

  // Guards against a coordinator that acts on an expired lease after its host was suspended.
  @Test
  void countsTheTimeForWhichTheHostWasSuspended() {
    Sources sources = new Sources();
    SuspensionClock clock = sources.clock();
    long start = clock.millis();

    sources.trueMicros += 3_000 * MICROS_PER_MILLI;
    sources.suspendedMicros += 2_000 * MICROS_PER_MILLI;

    assertThat(clock.millis() - start).isEqualTo(3_000);
  }
}
