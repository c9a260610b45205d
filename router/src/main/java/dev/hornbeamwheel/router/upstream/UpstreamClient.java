package dev.hornbeamwheel.router.upstream;

/** Sends attempts to upstreams. */
@FunctionalInterface
public interface UpstreamClient {
  /** Starts an attempt and returns at once; its end is told to the listener. */
  RunningAttempt start(AttemptSpec spec, AttemptListener listener);
}
