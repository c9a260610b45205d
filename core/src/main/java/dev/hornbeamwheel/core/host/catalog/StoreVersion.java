package dev.hornbeamwheel.core.host.catalog;

import java.util.Comparator;

/**
 * A version of the store; ordered by era first.
 *
 * @param era number of times that the store was restored from a snapshot; zero for a store that
 *     does not name an era
 * @param number number of the version within its era; issued again in each later era
 */
public record StoreVersion(long era, long number) implements Comparable<StoreVersion> {
  private static final Comparator<StoreVersion> ORDER =
      Comparator.comparingLong(StoreVersion::era).thenComparingLong(StoreVersion::number);

  private static final StoreVersion UNKNOWN = new StoreVersion(0, -1);

  /** Rejects a negative era. */
  public StoreVersion {
    if (era < 0) {
      throw new IllegalArgumentException("store era must be zero or greater: " + era);
    }
  }

  /** Returns a version of a store that does not name an era. */
  public static StoreVersion ofEraZero(long number) {
    return new StoreVersion(0, number);
  }

  /** Returns a version before all others. */
  public static StoreVersion unknown() {
    return UNKNOWN;
  }

  /** Returns the later of two versions. */
  public static StoreVersion max(StoreVersion a, StoreVersion b) {
    return a.compareTo(b) >= 0 ? a : b;
  }

  /** Returns the earlier of two versions. */
  public static StoreVersion min(StoreVersion a, StoreVersion b) {
    return a.compareTo(b) <= 0 ? a : b;
  }

  /** Returns whether this version is earlier than another. */
  public boolean isBefore(StoreVersion other) {
    return compareTo(other) < 0;
  }

  @Override
  public int compareTo(StoreVersion other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return era == 0 ? Long.toString(number) : era + "/" + number;
  }
}
