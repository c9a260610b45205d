package dev.hornbeamwheel.core.model;

/**
 * Identifies one process of the router on a host, for instance {@code quimper-1/router}.
 *
 * @param value the text of the id, never blank; at most 200 characters
 */
public record MemberId(String value) implements Comparable<MemberId> {
  /** Rejects a blank or over-long value. */
  public MemberId {
    Identifiers.requireValid("MemberId", value);
  }

  /** Returns the id with the given text. */
  public static MemberId of(String value) {
    return new MemberId(value);
  }

  @Override
  public int compareTo(MemberId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
