package dev.hornbeamwheel.core.model;

/**
 * Identifies a service, a group of upstreams with the same interface.
 *
 * @param value the text form, never blank
 */
public record ServiceId(String value) implements Comparable<ServiceId> {
  /** Rejects a blank value. */
  public ServiceId {
    Identifiers.requireValid("ServiceId", value);
  }

  /** Returns the id with the given text form. */
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
