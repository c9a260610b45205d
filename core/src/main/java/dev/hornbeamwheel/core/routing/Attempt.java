package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.model.UpstreamId;

/** One attempt to run a request on an upstream. */
final class Attempt {
  final int number;
  final UpstreamId upstream;
  final HeldSlot slot;
  final long startedAtMillis;
  final boolean hedge;
  boolean cancelled;

  Attempt(int number, HeldSlot slot, long startedAtMillis, boolean hedge) {
    this.number = number;
    this.slot = slot;
    this.upstream = slot.upstream;
    this.startedAtMillis = startedAtMillis;
    this.hedge = hedge;
  }
}
