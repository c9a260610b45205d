package dev.hornbeamwheel.runtime.operator;

import java.util.concurrent.atomic.AtomicReference;

/** Whether a process wants new work; off until the program says otherwise. */
public final class Readiness {
  private enum State {
    STARTING,
    READY,
    STOPPING
  }

  private final AtomicReference<State> state = new AtomicReference<>(State.STARTING);

  /** Returns a readiness that is off. */
  public static Readiness off() {
    return new Readiness();
  }

  private Readiness() {}

  /** Turns readiness on, unless the process is stopping. */
  public void ready() {
    state.compareAndSet(State.STARTING, State.READY);
  }

  /** Turns readiness off for good. */
  public void stopping() {
    state.set(State.STOPPING);
  }

  /** Returns whether the process wants new work. */
  public boolean isReady() {
    return state.get() == State.READY;
  }
}
