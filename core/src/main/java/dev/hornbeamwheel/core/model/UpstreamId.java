package dev.hornbeamwheel.core.model;

/**
 * Identifies an upstream, a server that runs requests of one service.
 *
 * @param value the text of the id, never blank; at most 200 characters
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {
  /** Rejects a blank or over-long value. */
  public UpstreamId {
    Identifiers.requireValid("UpstreamId", value);
  }

  /** Returns the id with the given text. */
  public static UpstreamId of(String value) {
    return new UpstreamId(value);
  }

  @Override
  public int compareTo(UpstreamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
