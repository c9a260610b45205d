package dev.hornbeamwheel.runtime.cli;

/** A program that has started. */
public interface RunningProgram {
  /**
   * Stops the program gracefully: readiness off first, then requests in flight finish.
   *
   * <p>Returns when nothing is left to do. A second call does nothing.
   */
  void stop();
}
