package dev.hornbeamwheel.core.host.lease;

/**
 * The capacity of a host for the work of the coordinator, comparable between hosts.
 *
 * @param millicores thousandths of a processor core, limited by the bandwidth of the host's link;
 *     zero if unknown
 */
public record HostCapacity(int millicores) implements Comparable<HostCapacity> {
  /** Millicores that slot requests on one megabit per second of the link can keep busy. */
  private static final int MILLICORES_PER_MEGABIT = 50;

  private static final int MILLICORES_PER_CORE = 1_000;

  /** A capacity below two thirds of another is much lower. */
  private static final int MUCH_LOWER_NUMERATOR = 2;

  private static final int MUCH_LOWER_DENOMINATOR = 3;

  /** Rejects a negative capacity. */
  public HostCapacity {
    if (millicores < 0) {
      throw new IllegalArgumentException("host capacity must be zero or greater: " + millicores);
    }
  }

  /** Returns an unknown capacity. */
  public static HostCapacity unknown() {
    return new HostCapacity(0);
  }

  /**
   * Returns the capacity of a host.
   *
   * @param processorCores processor capacity, in cores of the reference speed; zero if unknown
   * @param linkMegabitsPerSecond bandwidth of the link to other hosts; zero if unknown
   */
  public static HostCapacity of(double processorCores, double linkMegabitsPerSecond) {
    double byLink =
        linkMegabitsPerSecond > 0 ? linkMegabitsPerSecond * MILLICORES_PER_MEGABIT : 1e9;
    return new HostCapacity((int) Math.min(processorCores * MILLICORES_PER_CORE, byLink));
  }

  /** Returns whether the capacity is unknown. */
  public boolean isUnknown() {
    return millicores == 0;
  }

  /**
   * Returns whether this capacity is so much lower than another that the other host should
   * coordinate; false if this capacity is unknown.
   */
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
