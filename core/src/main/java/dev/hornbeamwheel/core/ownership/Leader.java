package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.Decision;
import dev.hornbeamwheel.core.config.Fencing;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.Term;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.placement.PlacementView.Target;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Acts on the row in force: renews leases, releases slices and grants them. */
final class Leader {
  /** Time after which a release or grant is sent again, in milliseconds. */
  private static final long CHANGE_RETRY_MILLIS = 50;

  /** Time that the upstreams have to reply to a new leader before it plans, in milliseconds. */
  private static final long CONTACT_MILLIS = 200;

  /** Time between plans while nothing changed, in milliseconds. */
  private static final long PLAN_MILLIS = 500;

  /** Gap between ticks from which this controller itself must have paused, in milliseconds. */
  private static final long PAUSE_MILLIS = 300;

  private final Context context;
  private final CellId cell;
  private final Service service;
  private final long confirmedAt;
  private final TreeMap<UpstreamId, UpstreamWork> works = new TreeMap<>();
  private final Map<Slice, Long> givenUp = new HashMap<>();
  private Term term;
  private CellRow row;
  private long tickedAt;
  private long planAt = Long.MIN_VALUE;
  private List<Target> eligible = List.of();

  Leader(Context context, Service service, Term term, CellRow row, long now) {
    this.context = context;
    this.cell = row.cell();
    this.service = service;
    this.term = term;
    this.confirmedAt = now;
    this.tickedAt = now;
    adopt(row);
  }

  Term term() {
    return term;
  }

  /** Goes on under a later term, without a gap in the leadership. */
  void continueUnder(Term next) {
    term = next;
  }

  CellRow row() {
    return row;
  }

  /** Puts a row in force that a majority of the voters holds. */
  void adopt(CellRow next) {
    boolean sameAssignments = row != null && row.assignments().equals(next.assignments());
    row = next;
    if (!sameAssignments) {
      givenUp.keySet().removeIf(slice -> !stillGivenUp(slice));
      distribute();
      works.values().forEach(UpstreamWork::fixGate);
    }
    context.outbox().add(new OwnershipEffect.RowPublished(row));
  }

  private boolean stillGivenUp(Slice slice) {
    return row.assignments()
        .find(slice)
        .filter(a -> a.previous().isPresent() && a.epoch().value() == givenUp.get(slice))
        .isPresent();
  }

  /** Derives from the row and the slices given up what each upstream should hold. */
  private void distribute() {
    works.values().forEach(UpstreamWork::clear);
    row.assignments().stream().forEach(this::distribute);
  }

  private void distribute(Assignment assignment) {
    if (givenUp(assignment)) {
      work(assignment.owner()).hold(assignment);
      return;
    }
    work(assignment.previous().orElseThrow()).leave(assignment);
    work(assignment.owner()).expect(assignment);
  }

  private boolean givenUp(Assignment assignment) {
    return assignment.previous().isEmpty() || givenUp.containsKey(assignment.slice());
  }

  private UpstreamWork work(UpstreamId upstream) {
    return works.computeIfAbsent(upstream, id -> new UpstreamWork(new UpstreamLease(id)));
  }

  /** Sends what is due. */
  void tick(long now) {
    if (now - tickedAt > PAUSE_MILLIS) {
      works.values().forEach(work -> work.lease().restartSilence(now));
    }
    tickedAt = now;
    if (!service.keyed()) {
      return;
    }
    context
        .topology()
        .inService(service.id(), row.home(), ignoreDrain())
        .forEach(upstream -> work(upstream.id()));
    List.copyOf(works.values()).stream()
        .filter(work -> !work.leaving().isEmpty() && surelyLapsed(work, now))
        .forEach(work -> giveUp(work, "lease lapsed"));
    works.values().forEach(work -> act(work, now));
    works.values().removeIf(work -> !wanted(work));
  }

  private boolean wanted(UpstreamWork work) {
    return work.involved()
        || context.topology().inService(service.id(), row.home(), ignoreDrain()).stream()
            .anyMatch(upstream -> upstream.id().equals(work.lease().upstream()));
  }

  private boolean ignoreDrain() {
    return context.shortcut() == Shortcut.IGNORE_DRAIN;
  }

  private boolean surelyLapsed(UpstreamWork work, long now) {
    if (context.shortcut() == Shortcut.NO_LEASE_WAIT) {
      return work.lease().silent(now, context.options());
    }
    return earlierOrdersExpired(now) && work.lease().lapsed(now);
  }

  private boolean earlierOrdersExpired(long now) {
    return now >= confirmedAt + Drift.widen(context.options().upstreamLeaseMillis());
  }

  private void giveUp(UpstreamWork work, String reason) {
    List.copyOf(work.leaving()).stream()
        .map(slice -> row.assignments().find(slice).orElseThrow())
        .forEach(assignment -> givenUp.put(assignment.slice(), assignment.epoch().value()));
    log("release", reason, work);
    distribute();
    planAt = Long.MIN_VALUE;
    works.values().forEach(UpstreamWork::changeSoon);
  }

  /** Sends an upstream the one order that is most needed. */
  private void act(UpstreamWork work, long now) {
    UpstreamLease lease = work.lease();
    boolean orderly = lease.known() && lease.expiry(context.options()) > lease.lowerBound(now);
    if (orderly && !work.leaving().isEmpty() && work.changeDue(now) && mayRelease(work, now)) {
      release(work, now);
    } else if (orderly && work.needsReplace() && work.changeDue(now)) {
      replace(work, now);
    } else if (work.renewalDue(now)) {
      renew(work, orderly && work.involved(), now);
    }
  }

  /** Returns whether no delayed grant can give the upstream back what it releases. */
  private boolean mayRelease(UpstreamWork work, long now) {
    return service.fencing() == Fencing.CHECKED
        || (earlierOrdersExpired(now) && work.lease().lowerBound(now) > work.releaseGate());
  }

  private void release(UpstreamWork work, long now) {
    UpstreamLease lease = work.lease();
    long id = context.nextId();
    lease.releaseSent(id, work.generation());
    send(
        work,
        new UpstreamOrder.Release(
            cell,
            id,
            term,
            lease.incarnation(),
            lease.expiry(context.options()),
            work.remaining(),
            List.copyOf(work.leaving())),
        now);
    work.changed(now, CHANGE_RETRY_MILLIS);
    lease.leased(lease.expiry(context.options()), false);
    if (context.shortcut() == Shortcut.NO_RELEASE_ACK) {
      giveUp(work, "not awaited");
    }
  }

  private void replace(UpstreamWork work, long now) {
    UpstreamLease lease = work.lease();
    List<SliceGrant> grants =
        row.assignments().stream()
            .filter(a -> a.owner().equals(lease.upstream()) && givenUp(a))
            .map(a -> new SliceGrant(a.slice(), a.epoch()))
            .toList();
    long expiry = lease.expiry(context.options());
    send(
        work,
        new UpstreamOrder.Replace(
            cell, context.nextId(), term, lease.incarnation(), expiry, work.desired(), grants),
        now);
    work.changed(now, CHANGE_RETRY_MILLIS);
    lease.leased(expiry, true);
  }

  private void renew(UpstreamWork work, boolean holding, long now) {
    UpstreamLease lease = work.lease();
    if (holding) {
      long expiry = lease.expiry(context.options());
      lease.leased(expiry, false);
      send(
          work,
          new UpstreamOrder.Renew(cell, context.nextId(), term, lease.incarnation(), expiry),
          now);
    } else {
      send(work, new UpstreamOrder.ReadClock(cell, context.nextId()), now);
    }
  }

  private void send(UpstreamWork work, UpstreamOrder order, long now) {
    work.renewed(now, context.options().renewalMillis());
    work.lease().sent(now);
    context.outbox().add(new OwnershipEffect.Order(work.lease().upstream(), order));
  }

  /** Takes in the reply of an upstream. */
  void replied(UpstreamId upstream, UpstreamReply reply, long now) {
    UpstreamWork work = works.get(upstream);
    if (work == null) {
      return;
    }
    boolean first = !work.lease().known();
    boolean restarted = work.lease().replied(reply, now, context.nextId());
    boolean restartedEmpty = restarted && !work.leaving().isEmpty();
    boolean gaveUp = restartedEmpty || released(work, reply);
    if (gaveUp) {
      giveUp(work, restartedEmpty ? "upstream restarted" : "released");
    }
    if (first || restarted || reply.outcome() == UpstreamReply.Outcome.EXPIRED) {
      work.renewSoon();
    }
    if (work.takeGranted()) {
      log("grant", "upstream holds its set", work);
      planAt = Long.MIN_VALUE;
    }
    (gaveUp ? works.values() : List.of(work)).forEach(each -> act(each, now));
  }

  private static boolean released(UpstreamWork work, UpstreamReply reply) {
    return !work.leaving().isEmpty()
        && reply.outcome() == UpstreamReply.Outcome.DONE
        && reply.running() == 0
        && reply.incarnation().equals(work.lease().incarnation())
        && work.lease().releaseOf(reply.orderId()) == work.generation();
  }

  /** Returns the assignments to write next; empty if there is nothing to change. */
  Optional<Assignments> plan(long now) {
    List<Target> present = eligible(now);
    if (!service.keyed() || !contacted(now)) {
      return Optional.empty();
    }
    if (now < planAt && present.equals(eligible)) {
      return Optional.empty();
    }
    eligible = present;
    planAt = now + PLAN_MILLIS;
    return new Planner(context, service).next(row, eligible, this::givenUp, now);
  }

  /** Returns whether each upstream had the time to reply to this leader. */
  private boolean contacted(long now) {
    return now - confirmedAt >= CONTACT_MILLIS
        || works.values().stream().allMatch(work -> work.lease().known());
  }

  private List<Target> eligible(long now) {
    return context.topology().inService(service.id(), row.home(), ignoreDrain()).stream()
        .filter(upstream -> works.containsKey(upstream.id()))
        .filter(upstream -> usable(works.get(upstream.id()), now))
        .map(upstream -> new Target(upstream.id(), upstream.slots()))
        .toList();
  }

  /** An upstream that has not replied yet keeps what it owns but gets nothing more. */
  private boolean usable(UpstreamWork work, long now) {
    boolean silent = work.lease().silent(now, context.options());
    return context.shortcut() == Shortcut.IGNORE_FAILURE
        || (!silent && (work.lease().known() || work.desired() != 0));
  }

  private void log(String kind, String reason, UpstreamWork work) {
    context
        .outbox()
        .log(
            new Decision(
                kind,
                reason,
                cell.service().value(),
                cell.index(),
                row.version(),
                work.lease().upstream().value(),
                "",
                ""));
  }
}
