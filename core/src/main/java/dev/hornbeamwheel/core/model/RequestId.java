package dev.hornbeamwheel.core.model;

/**
 * Identifies one request of a caller; the upstream repeats it in its response.
 *
 * @param value the text of the id, never blank; at most 200 characters
 */
public record RequestId(String value) implements Comparable<RequestId> {
  /** Rejects a blank or over-long value. */
  public RequestId {
    Identifiers.requireValid("RequestId", value);
  }

  /** Returns the id with the given text. */
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
