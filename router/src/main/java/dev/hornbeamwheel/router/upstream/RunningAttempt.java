package dev.hornbeamwheel.router.upstream;

/** An attempt that may be cancelled. */
@FunctionalInterface
public interface RunningAttempt {
  /** Cancels the attempt and tells the upstream; it still ends through its listener. */
  void cancel();
}
