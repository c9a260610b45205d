package dev.hornbeamwheel.core.host.lease;

/**
 * How much coordinating a host can bear, to be compared with other hosts.
 *
 * @param millicores thousandths of a processor core, or fewer where the link carries less; zero if
 *     unknown
 */
public record HostCapacity(int millicores) implements Comparable<HostCapacity> {
  /** Thousandths of a core that a megabit a second of the link can keep busy with slots. */
  private static final int MILLICORES_PER_MEGABIT = 50;

  private static final int MILLICORES_PER_CORE = 1_000;

  /** A host with less than two thirds of another's capacity is clearly weaker. */
  private static final int MUCH_LOWER_NUMERATOR = 2;

  private static final int MUCH_LOWER_DENOMINATOR = 3;

  /** Rejects a negative capacity. */
  public HostCapacity {
    if (millicores < 0) {
      throw new IllegalArgumentException("a capacity is not negative: " + millicores);
    }
  }

  /** Returns the capacity of a host of which nothing is known. */
  public static HostCapacity unknown() {
    return new HostCapacity(0);
  }

  /**
   * Returns the capacity of a host; what is zero is not known.
   *
   * @param processorCores its processor, in cores of the usual speed
   * @param linkMegabitsPerSecond what its link to other hosts carries
   */
  public static HostCapacity of(double processorCores, double linkMegabitsPerSecond) {
    double byLink =
        linkMegabitsPerSecond > 0 ? linkMegabitsPerSecond * MILLICORES_PER_MEGABIT : 1e9;
    return new HostCapacity((int) Math.min(processorCores * MILLICORES_PER_CORE, byLink));
  }

  /** Returns whether nothing is known of the host. */
  public boolean isUnknown() {
    return millicores == 0;
  }

  /** Returns whether a host of this capacity should leave coordinating to one of another. */
  public boolean isMuchLowerThan(HostCapacity other) {
    return !isUnknown()
        && (long) millicores * MUCH_LOWER_DENOMINATOR
            < (long) other.millicores * MUCH_LOWER_NUMERATOR;
  }

  @Override
  public int compareTo(HostCapacity other) {
    return Integer.compare(millicores, other.millicores);
  }
}
