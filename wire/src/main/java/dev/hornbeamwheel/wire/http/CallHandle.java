package dev.hornbeamwheel.wire.http;

/** A call that is under way. */
@FunctionalInterface
public interface CallHandle {
  /** Resets the connection; the result of the call is not reported. */
  void abort();
}
