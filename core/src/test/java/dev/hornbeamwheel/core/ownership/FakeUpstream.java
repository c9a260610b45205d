package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.config.Fencing;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.Term;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.ownership.UpstreamReply.Outcome;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * An upstream that validates orders according to its fencing kind and expires leases by its own
 * clock.
 */
final class FakeUpstream {
  /** The lease and the slices that it holds of one cell. */
  private static final class Holding {
    private Term term = Term.NONE;
    private long lastChangeOrderId;
    private long expiresAt;
    private long setVersion;
    private final Map<Slice, Long> epochs = new TreeMap<>();
    private final Map<Slice, Long> drainingUntil = new HashMap<>();
  }

  private final UpstreamId id;
  private final Fencing fencing;
  private final FakeClock clock;
  private final long requestMillis;
  private final Map<CellId, Holding> holdings = new TreeMap<>();
  private long incarnation = 1;

  FakeUpstream(UpstreamId id, Fencing fencing, FakeClock clock, long requestMillis) {
    this.id = id;
    this.fencing = fencing;
    this.clock = clock;
    this.requestMillis = requestMillis;
  }

  UpstreamId id() {
    return id;
  }

  void restart() {
    incarnation++;
    holdings.clear();
  }

  /** Returns the epoch at which it admits requests for a slice; zero if it admits none. */
  long admittedEpoch(CellId cell, Slice slice, long now) {
    Holding holding = holdings.get(cell);
    return holding == null || clock.read(now) >= holding.expiresAt
        ? 0
        : holding.epochs.getOrDefault(slice, 0L);
  }

  /** Returns whether it admits requests for a slice or still runs one. */
  boolean holds(CellId cell, Slice slice, long now) {
    Holding holding = holdings.get(cell);
    return holding != null
        && clock.read(now) < holding.expiresAt
        && (holding.epochs.containsKey(slice) || isDraining(holding, slice, now));
  }

  boolean holdsAny(long now) {
    return holdings.values().stream()
        .anyMatch(h -> clock.read(now) < h.expiresAt && !h.epochs.isEmpty());
  }

  private static boolean isDraining(Holding holding, Slice slice, long now) {
    return holding.drainingUntil.getOrDefault(slice, Long.MIN_VALUE) > now;
  }

  UpstreamReply handle(UpstreamOrder order, long now) {
    Holding holding = holdings.computeIfAbsent(order.cell(), key -> new Holding());
    if (clock.read(now) >= holding.expiresAt) {
      holding.epochs.clear();
      holding.drainingUntil.clear();
      holding.setVersion = 0;
    }
    Outcome outcome = Outcome.DONE;
    if (order instanceof UpstreamOrder.Renew renew) {
      outcome = check(holding, renew.term(), renew.target(), renew.expiresAtMillis(), now);
      if (outcome == Outcome.DONE && !holding.epochs.isEmpty()) {
        holding.expiresAt = Math.max(holding.expiresAt, renew.expiresAtMillis());
      }
    } else if (order instanceof UpstreamOrder.Replace replace) {
      outcome = check(holding, replace.term(), replace.target(), replace.expiresAtMillis(), now);
      if (outcome == Outcome.DONE && (outcome = fence(holding, replace)) == Outcome.DONE) {
        replace(holding, replace, now);
      }
    } else if (order instanceof UpstreamOrder.Release release) {
      outcome = check(holding, release.term(), release.target(), release.expiresAtMillis(), now);
      if (outcome == Outcome.DONE && (outcome = fence(holding, release)) == Outcome.DONE) {
        release(holding, release, now);
      }
    }
    int running = (int) holding.drainingUntil.values().stream().filter(at -> at > now).count();
    return new UpstreamReply(
        order.cell(),
        order.orderId(),
        Incarnation.of(incarnation),
        clock.read(now),
        outcome,
        holding.setVersion,
        running);
  }

  private Outcome check(Holding holding, Term term, Incarnation target, long expiry, long now) {
    if (target.value() != incarnation) {
      return Outcome.OTHER_INCARNATION;
    }
    if (expiry <= clock.read(now)) {
      return Outcome.EXPIRED;
    }
    if (fencing == Fencing.CHECKED) {
      if (holding.term.isAfter(term)) {
        return Outcome.STALE_TERM;
      }
      holding.lastChangeOrderId = term.equals(holding.term) ? holding.lastChangeOrderId : 0;
      holding.term = term;
    }
    return Outcome.DONE;
  }

  private Outcome fence(Holding holding, UpstreamOrder order) {
    if (fencing == Fencing.CHECKED && order.orderId() <= holding.lastChangeOrderId) {
      return Outcome.STALE_TERM;
    }
    holding.lastChangeOrderId = order.orderId();
    return Outcome.DONE;
  }

  private void replace(Holding holding, UpstreamOrder.Replace order, long now) {
    holding.epochs.keySet().forEach(slice -> holding.drainingUntil.put(slice, now + requestMillis));
    holding.epochs.clear();
    order.grants().forEach(g -> holding.epochs.put(g.slice(), g.epoch().value()));
    holding.drainingUntil.keySet().removeAll(holding.epochs.keySet());
    holding.expiresAt = Math.max(holding.expiresAt, order.expiresAtMillis());
    holding.setVersion = order.setVersion();
  }

  private void release(Holding holding, UpstreamOrder.Release order, long now) {
    order.slices().stream()
        .filter(slice -> holding.epochs.remove(slice) != null)
        .forEach(slice -> holding.drainingUntil.put(slice, now + requestMillis));
    holding.expiresAt = Math.max(holding.expiresAt, order.expiresAtMillis());
    holding.setVersion = holding.epochs.isEmpty() ? 0 : order.setVersion();
  }
}
