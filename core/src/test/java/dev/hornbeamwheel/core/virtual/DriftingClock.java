package dev.hornbeamwheel.core.virtual;

/** The clock of a simulated process, which runs faster or slower than virtual time. */
public final class DriftingClock {
  private final VirtualTime time;
  private final long offsetMillis;
  private final int driftPerThousand;

  /**
   * Returns a clock with an offset and a drift.
   *
   * @param offsetMillis reading at virtual time zero
   * @param driftPerThousand drift in thousandths; positive if the clock runs fast
   */
  public DriftingClock(VirtualTime time, long offsetMillis, int driftPerThousand) {
    this.time = time;
    this.offsetMillis = offsetMillis;
    this.driftPerThousand = driftPerThousand;
  }

  /** Returns the reading of this clock. */
  public long millis() {
    return offsetMillis + time.nowMillis() * (1000 + driftPerThousand) / 1000;
  }
}
