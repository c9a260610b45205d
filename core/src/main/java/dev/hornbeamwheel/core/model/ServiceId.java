package dev.hornbeamwheel.core.model;

/**
 * Identifies a service, a group of upstreams with the same interface.
 *
 * @param value the text of the id, never blank; at most 200 characters
 */
public record ServiceId(String value) implements Comparable<ServiceId> {
  /** Rejects a blank or over-long value. */
  public ServiceId {
    Identifiers.requireValid("ServiceId", value);
  }

  /** Returns the id with the given text. */
  public static ServiceId of(String value) {
    return new ServiceId(value);
  }

  @Override
  public int compareTo(ServiceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
