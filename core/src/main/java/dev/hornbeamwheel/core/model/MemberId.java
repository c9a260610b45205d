package dev.hornbeamwheel.core.model;

/**
 * Identifies one process of the system on a host, for instance {@code quimper-1/router}.
 *
 * @param value the text form, never blank
 */
public record MemberId(String value) implements Comparable<MemberId> {
  /** Rejects a blank value. */
  public MemberId {
    Identifiers.requireValid("MemberId", value);
  }

  /** Returns the id with the given text form. */
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
