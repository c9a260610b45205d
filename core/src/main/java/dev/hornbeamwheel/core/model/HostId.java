package dev.hornbeamwheel.core.model;

/**
 * Identifies an entry host.
 *
 * @param value the text of the id, never blank; at most 200 characters
 */
public record HostId(String value) implements Comparable<HostId> {
  /** Rejects a blank or over-long value. */
  public HostId {
    Identifiers.requireValid("HostId", value);
  }

  /** Returns the id with the given text. */
  public static HostId of(String value) {
    return new HostId(value);
  }

  @Override
  public int compareTo(HostId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
