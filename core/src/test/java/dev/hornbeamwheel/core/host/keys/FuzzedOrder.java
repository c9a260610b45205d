package dev.hornbeamwheel.core.host.keys;

import java.util.Optional;

/** An order that an upstream of a {@link KeyedServiceFuzz} carries out. */
interface FuzzedOrder {
  /** Carries the order out; returns the result, or empty if the upstream gives no answer. */
  Optional<OrderResult> execute(FakeUpstream upstream);

  /** Records that the order has reached its receiver, which may carry it out later. */
  void arrived();

  /** Returns whether the order is sent on a new connection only. */
  boolean needsConnection();

  /** Records that no connection could be made, so that the order was not sent. */
  default void notReached() {}

  /** Returns a second copy of an earlier answer, if it passes for one to this order. */
  default Optional<OrderResult> repeatedAnswer() {
    return Optional.empty();
  }
}
