package dev.hornbeamwheel.core.model;

import java.util.Objects;

/**
 * Identifies a route of the operators' configuration.
 *
 * @param value name of the route, which may be empty if the configuration names none
 */
public record RouteId(String value) {
  /** Rejects null. */
  public RouteId {
    Objects.requireNonNull(value, "value");
  }

  /** Returns the id with the given text. */
  public static RouteId of(String value) {
    return new RouteId(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
