package dev.hornbeamwheel.core.model;

/**
 * Identifies one start of a process, which distinguishes a restart from a reconnection.
 *
 * @param value a number that no earlier start of the process used
 */
public record Incarnation(long value) {
  /** Returns the incarnation with the given number. */
  public static Incarnation of(long value) {
    return new Incarnation(value);
  }
}
