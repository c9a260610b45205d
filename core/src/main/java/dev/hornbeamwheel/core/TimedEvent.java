package dev.hornbeamwheel.core;

/** An event that carries the monotonic time at which its process observed it. */
public interface TimedEvent {
  /** Returns the monotonic time of the observing process, in milliseconds. */
  long atMillis();
}
