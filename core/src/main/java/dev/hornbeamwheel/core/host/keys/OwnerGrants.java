package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** Grants ranges of one service to their owners, and renews the grants. */
final class OwnerGrants {
  /** Maximum number of orders in flight for one owner; each needs a connection. */
  private static final int MAX_IN_FLIGHT_ORDERS = 2;

  private final Catalog catalog;
  private final UpstreamFailureDetector detector;
  private final GrantHoldTimes holdTimes;
  private final InFlightOrders inFlightOrders;
  private final KeyDecisionLog decisionLog;
  private final Consumer<KeyEffect> effects;

  /**
   * Creates the grants of a service.
   *
   * @param effects receives the orders to send and the log entries
   */
  OwnerGrants(
      Catalog catalog,
      UpstreamFailureDetector detector,
      GrantHoldTimes holdTimes,
      InFlightOrders inFlightOrders,
      KeyDecisionLog decisionLog,
      Consumer<KeyEffect> effects) {
    this.catalog = catalog;
    this.detector = detector;
    this.holdTimes = holdTimes;
    this.inFlightOrders = inFlightOrders;
    this.decisionLog = decisionLog;
    this.effects = effects;
  }

  /** Grants a range to its owner, or renews the grant, if that is due. */
  void advance(long nowMillis, OwnedRange range, boolean storeMaybeUnavailable) {
    if (range.readyForOrder(nowMillis)
        && inFlightOrders.count(range.assignment().owner().incarnation()) < MAX_IN_FLIGHT_ORDERS) {
      grant(nowMillis, range, storeMaybeUnavailable);
    }
  }

  private void grant(long nowMillis, OwnedRange range, boolean storeMaybeUnavailable) {
    KeyOwner owner = range.assignment().owner();
    if (range.fenced() || catalog.superseded(owner.incarnation(), owner.address())) {
      return;
    }
    OptionalLong hold = holdTimes.holdMillis(nowMillis, range, storeMaybeUnavailable);
    if (hold.isEmpty()) {
      return;
    }
    long holdMillis = hold.getAsLong();
    detector.orderSent(nowMillis, owner.incarnation());
    long orderId = inFlightOrders.start(range, Optional.of(range.ownerGrants()));
    range.ownerGrants().sent(nowMillis, orderId, owner.fencingToken(), holdMillis);
    effects.accept(
        new KeyEffect.Grant(
            orderId,
            owner.incarnation().id(),
            owner.address(),
            range.range(),
            owner.fencingToken(),
            holdMillis,
            range.handover(),
            nowMillis + KeyedService.MAX_SEND_DELAY_MILLIS,
            false));
  }

  /** Handles the result of a grant; returns whether the owner holds the range newly. */
  boolean grantEnded(long nowMillis, OwnedRange range, OrderResult result) {
    UpstreamIncarnation incarnation = range.assignment().owner().incarnation();
    if (result instanceof OrderResult.Done) {
      boolean probed = detector.failedSinceLastAnswer(incarnation);
      detector.orderAnswered(nowMillis, incarnation);
      range.orderEnded(probed ? nowMillis : nowMillis + KeyedService.RENEWAL_INTERVAL_MILLIS);
      if (range.phase() == OwnedRange.Phase.GRANTING) {
        range.markHeld();
        effects.accept(decisionLog.keysGranted(nowMillis, range));
        return true;
      }
      return false;
    }
    range.orderEnded(nowMillis + KeyedService.ORDER_RETRY_DELAY_MILLIS);
    effects.accept(
        decisionLog.orderFailed(nowMillis, "grant", range, range.assignment().owner(), result));
    if (result instanceof OrderResult.Fenced) {
      range.markFenced();
      effects.accept(
          decisionLog.entry(
              "keys-fenced", incarnation.id() + " " + range.range(), "greater fencing token seen"));
    } else {
      detector.orderFailed(incarnation);
    }
    return false;
  }

  /** Reports the result to all trackers of the grant; a range that was split has several. */
  void record(long nowMillis, long orderId, OrderResult result) {
    inFlightOrders
        .grantTrackers(orderId)
        .forEach(
            tracker -> {
              if (result instanceof OrderResult.Done done) {
                tracker.answered(nowMillis, orderId, done.verified());
              } else if (result instanceof OrderResult.Unanswered) {
                tracker.unanswered(nowMillis, orderId);
              } else {
                tracker.refused(orderId);
              }
            });
  }
}
