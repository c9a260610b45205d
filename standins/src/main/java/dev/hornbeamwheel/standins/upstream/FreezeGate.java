package dev.hornbeamwheel.standins.upstream;

import java.util.ArrayList;
import java.util.List;

/** Holds back all work of an upstream while it is frozen, in order. */
final class FreezeGate {
  private final List<Runnable> held = new ArrayList<>();
  private boolean frozen;

  /** Runs work now, or when the upstream thaws. */
  void pass(Runnable work) {
    synchronized (this) {
      if (frozen) {
        held.add(work);
        return;
      }
    }
    work.run();
  }

  synchronized void freeze() {
    frozen = true;
  }

  void thaw() {
    List<Runnable> released;
    synchronized (this) {
      frozen = false;
      released = List.copyOf(held);
      held.clear();
    }
    released.forEach(Runnable::run);
  }
}
