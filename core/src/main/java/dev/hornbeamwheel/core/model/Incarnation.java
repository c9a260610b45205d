package dev.hornbeamwheel.core.model;

/**
 * Number drawn anew at each start of a process, so that a restart is told from a reconnection.
 *
 * @param value any number that an earlier start did not draw
 */
public record Incarnation(long value) {
  /** Returns the incarnation with the given number. */
  public static Incarnation of(long value) {
    return new Incarnation(value);
  }
}
