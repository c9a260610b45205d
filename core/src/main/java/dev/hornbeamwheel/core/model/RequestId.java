package dev.hornbeamwheel.core.model;

/**
 * Identifies one request of a caller; an upstream echoes it in its answer.
 *
 * @param value the text form, never blank
 */
public record RequestId(String value) implements Comparable<RequestId> {
  /** Rejects a blank value. */
  public RequestId {
    Identifiers.requireValid("RequestId", value);
  }

  /** Returns the id with the given text form. */
  public static RequestId of(String value) {
    return new RequestId(value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
