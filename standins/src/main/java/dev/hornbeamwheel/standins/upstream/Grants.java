package dev.hornbeamwheel.standins.upstream;

import dev.hornbeamwheel.core.config.Fencing;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Epoch;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.Term;
import dev.hornbeamwheel.core.ownership.UpstreamOrder;
import dev.hornbeamwheel.core.ownership.UpstreamReply;
import dev.hornbeamwheel.core.ownership.UpstreamReply.Outcome;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/** Obeys or refuses orders, and tells which slices are held; confined to one lock. */
final class Grants {
  private final Fencing fencing;
  private final Incarnation incarnation;
  private final Map<CellId, HeldCell> cells = new HashMap<>();

  Grants(Fencing fencing, Incarnation incarnation) {
    this.fencing = fencing;
    this.incarnation = incarnation;
  }

  /** Proof that a slice was held when a request was admitted. */
  record Holding(CellId cell, long lease) {
    /** Stands for a request that needs no slice. */
    static final Holding NOT_NEEDED = new Holding(null, 0);
  }

  /** Whether a request may run. */
  sealed interface Check {
    /** It may. */
    record Held(Holding holding) implements Check {}

    /** It may not. */
    record Refused(RefusalReason reason) implements Check {}
  }

  /**
   * Carries out an order.
   *
   * @param running counts the requests of given slices that still run
   */
  UpstreamReply obey(
      UpstreamOrder order, long nowMillis, ToIntFunction<Collection<Slice>> running) {
    HeldCell cell = cells.computeIfAbsent(order.cell(), id -> new HeldCell());
    Outcome outcome = outcome(order, cell, nowMillis);
    if (outcome == Outcome.DONE) {
      carryOut(order, cell, nowMillis);
    }
    int left =
        order instanceof UpstreamOrder.Release release ? running.applyAsInt(release.slices()) : 0;
    return new UpstreamReply(
        order.cell(),
        order.orderId(),
        incarnation,
        nowMillis,
        outcome,
        cell.heldSet(nowMillis),
        left);
  }

  /** Returns whether a request of a slice may be admitted. */
  Check check(Slice slice, Epoch epoch, long nowMillis) {
    for (Map.Entry<CellId, HeldCell> entry : cells.entrySet()) {
      Epoch held = entry.getValue().epoch(slice, nowMillis);
      if (!held.equals(Epoch.NONE)) {
        return fencing == Fencing.UNCHECKED || held.equals(epoch)
            ? new Check.Held(new Holding(entry.getKey(), entry.getValue().lease()))
            : new Check.Refused(RefusalReason.STALE_EPOCH);
      }
    }
    return new Check.Refused(RefusalReason.NOT_OWNER);
  }

  /** Returns whether the lease under which a request was admitted has not lapsed since. */
  boolean unbroken(Holding holding, long nowMillis) {
    if (holding.equals(Holding.NOT_NEEDED)) {
      return true;
    }
    HeldCell cell = cells.get(holding.cell());
    return cell != null && cell.live(nowMillis) && cell.lease() == holding.lease();
  }

  /** Returns whether a slice is held at any epoch. */
  boolean holds(Slice slice, long nowMillis) {
    return cells.values().stream()
        .anyMatch(cell -> !cell.epoch(slice, nowMillis).equals(Epoch.NONE));
  }

  private Outcome outcome(UpstreamOrder order, HeldCell cell, long nowMillis) {
    if (order instanceof UpstreamOrder.Renew renew) {
      return outcome(renew.target(), renew.expiresAtMillis(), renew.term(), cell, nowMillis);
    }
    if (order instanceof UpstreamOrder.Replace replace) {
      Outcome outcome =
          outcome(replace.target(), replace.expiresAtMillis(), replace.term(), cell, nowMillis);
      return outcome == Outcome.DONE ? inSequence(order, cell) : outcome;
    }
    if (order instanceof UpstreamOrder.Release release) {
      Outcome outcome =
          outcome(release.target(), release.expiresAtMillis(), release.term(), cell, nowMillis);
      return outcome == Outcome.DONE ? inSequence(order, cell) : outcome;
    }
    return Outcome.DONE;
  }

  private Outcome outcome(
      Incarnation target, long expiry, Term term, HeldCell cell, long nowMillis) {
    if (!target.equals(incarnation)) {
      return Outcome.OTHER_INCARNATION;
    }
    if (nowMillis >= expiry) {
      return Outcome.EXPIRED;
    }
    if (fencing == Fencing.CHECKED && cell.latestTerm().isAfter(term)) {
      return Outcome.STALE_TERM;
    }
    cell.sawTerm(term);
    return Outcome.DONE;
  }

  /** Refuses a late or doubled change of the set within one term. */
  private Outcome inSequence(UpstreamOrder order, HeldCell cell) {
    if (fencing == Fencing.CHECKED && order.orderId() <= cell.changedBy()) {
      return Outcome.STALE_TERM;
    }
    cell.changedBy(order.orderId());
    return Outcome.DONE;
  }

  private static void carryOut(UpstreamOrder order, HeldCell cell, long nowMillis) {
    if (order instanceof UpstreamOrder.Renew renew) {
      cell.renew(nowMillis, renew.expiresAtMillis());
    } else if (order instanceof UpstreamOrder.Replace replace) {
      cell.replace(nowMillis, replace.expiresAtMillis(), replace.setVersion(), replace.grants());
    } else if (order instanceof UpstreamOrder.Release release) {
      cell.release(
          nowMillis,
          release.expiresAtMillis(),
          release.setVersion(),
          List.copyOf(release.slices()));
    }
  }
}
