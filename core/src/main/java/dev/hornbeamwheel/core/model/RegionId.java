package dev.hornbeamwheel.core.model;

/**
 * Identifies a region, a group of data centres near each other.
 *
 * @param value the text of the id, never blank; at most 200 characters
 */
public record RegionId(String value) implements Comparable<RegionId> {
  /** Rejects a blank or over-long value. */
  public RegionId {
    Identifiers.requireValid("RegionId", value);
  }

  /** Returns the id with the given text. */
  public static RegionId of(String value) {
    return new RegionId(value);
  }

  @Override
  public int compareTo(RegionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
