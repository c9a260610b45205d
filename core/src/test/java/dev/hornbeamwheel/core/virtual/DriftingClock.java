package dev.hornbeamwheel.core.virtual;

/** The clock of a process, which runs faster or slower than true time. */
public final class DriftingClock {
  private final VirtualTime time;
  private final long offsetMillis;
  private final int driftPerThousand;

  /**
   * Returns a clock.
   *
   * @param perThousand how much faster it runs, in thousandths; negative if slower
   */
  public DriftingClock(VirtualTime time, long offsetMillis, int perThousand) {
    this.time = time;
    this.offsetMillis = offsetMillis;
    this.driftPerThousand = perThousand;
  }

  /** Returns the reading of this clock. */
  public long millis() {
    return offsetMillis + time.nowMillis() * (1000 + driftPerThousand) / 1000;
  }
}
