package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** Takes ranges of one service back from their previous owners, by the steps of a release. */
final class KeyRecall {
  private final Catalog catalog;
  private final UpstreamFailureDetector detector;
  private final GrantHoldTimes holdTimes;
  private final InFlightOrders inFlightOrders;
  private final KeyDecisionLog decisionLog;
  private final Consumer<KeyEffect> effects;

  /**
   * Creates a recall.
   *
   * @param effects receives the orders to send and the log entries
   */
  KeyRecall(
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

  /** Takes the next step for a range that is being released, if it is due. */
  void advance(long nowMillis, OwnedRange range) {
    KeyOwner previous = previousOwner(range);
    boolean ended =
        range.misdirected() && catalog.superseded(previous.incarnation(), previous.address());
    OptionalLong holdMillis = holdTimes.fenceHoldMillis(nowMillis, range);
    ReleaseStep step = ReleaseStep.next(nowMillis, range, ended, holdMillis.isPresent());
    if (step == ReleaseStep.FENCE) {
      grant(nowMillis, range, previous, holdMillis.orElseThrow());
    } else if (step == ReleaseStep.RELEASE) {
      release(range, previous);
    } else if (step == ReleaseStep.FREE) {
      effects.accept(decisionLog.keysFreed(nowMillis, range, ended));
      range.markFree();
    }
  }

  /** Handles the result of a grant to the previous owner. */
  void grantEnded(long nowMillis, OwnedRange range, OrderResult result) {
    KeyOwner previous = previousOwner(range);
    if (result instanceof OrderResult.Done) {
      detector.orderAnswered(nowMillis, previous.incarnation());
      range.orderEnded(nowMillis);
    } else {
      effects.accept(decisionLog.orderFailed(nowMillis, "fence", range, previous, result));
      range.orderEnded(nowMillis + KeyedService.ORDER_RETRY_DELAY_MILLIS);
      if (result instanceof OrderResult.Misdirected) {
        range.markMisdirected();
      } else if (result instanceof OrderResult.Unanswered) {
        // A refused connection tells little: an upstream with a long queue resets new ones.
        detector.orderFailed(previous.incarnation());
      }
    }
  }

  /** Handles the result of a release. */
  void releaseEnded(long nowMillis, OwnedRange range, OrderResult result) {
    range.orderEnded(nowMillis + KeyedService.ORDER_RETRY_DELAY_MILLIS);
    if (result instanceof OrderResult.Done done) {
      range.markReleased(done.handover());
      return;
    }
    effects.accept(
        decisionLog.orderFailed(nowMillis, "release", range, previousOwner(range), result));
    if (result instanceof OrderResult.Misdirected) {
      range.markMisdirected();
    }
  }

  private static KeyOwner previousOwner(OwnedRange range) {
    return range.assignment().previousOwner().orElseThrow();
  }

  /** Grants a range to its previous owner with a greater fencing token than ever before. */
  private void grant(long nowMillis, OwnedRange range, KeyOwner previous, long holdMillis) {
    detector.orderSent(nowMillis, previous.incarnation());
    long fencingToken = range.takeToken(nowMillis);
    long orderId = inFlightOrders.start(range, Optional.of(range.previousOwnerGrants()));
    range.previousOwnerGrants().sent(nowMillis, orderId, fencingToken, holdMillis);
    effects.accept(
        new KeyEffect.Grant(
            orderId,
            previous.incarnation().id(),
            previous.address(),
            range.range(),
            fencingToken,
            holdMillis,
            Optional.empty(),
            nowMillis + KeyedService.MAX_SEND_DELAY_MILLIS,
            true));
  }

  private void release(OwnedRange range, KeyOwner previous) {
    long orderId = inFlightOrders.start(range, Optional.empty());
    effects.accept(
        new KeyEffect.Release(
            orderId,
            previous.incarnation().id(),
            previous.address(),
            range.range(),
            range.previousOwnerToken()));
  }
}
