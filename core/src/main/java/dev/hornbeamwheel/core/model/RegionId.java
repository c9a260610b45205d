package dev.hornbeamwheel.core.model;

/**
 * Identifies a region, a group of neighbouring data centres.
 *
 * @param value the text form, never blank
 */
public record RegionId(String value) implements Comparable<RegionId> {
  /** Rejects a blank value. */
  public RegionId {
    Identifiers.requireValid("RegionId", value);
  }

  /** Returns the id with the given text form. */
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
