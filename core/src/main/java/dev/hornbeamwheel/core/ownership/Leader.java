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
  private static final long CONTACT_TIMEOUT_MILLIS = 200;

  /** Time between plans while nothing changed, in milliseconds. */
  private static final long PLAN_INTERVAL_MILLIS = 500;

  /** Gap between ticks from which this controller itself must have paused, in milliseconds. */
  private static final long PAUSE_THRESHOLD_MILLIS = 300;

  private final ControllerContext context;
  private final CellId cell;
  private final Service service;
  private final long confirmedAt;
  private final TreeMap<UpstreamId, UpstreamState> upstreamStates = new TreeMap<>();
  private final Map<Slice, Long> released = new HashMap<>();
  private Term term;
  private CellRow row;
  private long lastTickAt;
  private long nextPlanAt = Long.MIN_VALUE;
  private List<Target> eligible = List.of();

  Leader(ControllerContext context, Service service, Term term, CellRow row, long now) {
    this.context = context;
    this.cell = row.cell();
    this.service = service;
    this.term = term;
    this.confirmedAt = now;
    this.lastTickAt = now;
    adopt(row);
  }

  Term term() {
    return term;
  }

  /** Goes on under a later term, without a gap in the leadership. */
  void continueInTerm(Term next) {
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
      released.keySet().removeIf(slice -> !stillReleased(slice));
      rebuildStates();
      upstreamStates.values().forEach(UpstreamState::setReleaseBarrier);
    }
    context.outbox().add(new OwnershipEffect.PublishRow(row));
  }

  private boolean stillReleased(Slice slice) {
    return row.assignments()
        .find(slice)
        .filter(a -> a.previousOwner().isPresent() && a.epoch().value() == released.get(slice))
        .isPresent();
  }

  /** Derives from the row and the slices given up what each upstream should hold. */
  private void rebuildStates() {
    upstreamStates.values().forEach(UpstreamState::clear);
    row.assignments().stream().forEach(this::rebuildStates);
  }

  private void rebuildStates(Assignment assignment) {
    if (released(assignment)) {
      stateOf(assignment.owner()).addDesired(assignment);
      return;
    }
    stateOf(assignment.previousOwner().orElseThrow()).addSliceToRelease(assignment);
    stateOf(assignment.owner()).addPending(assignment);
  }

  private boolean released(Assignment assignment) {
    return assignment.previousOwner().isEmpty() || released.containsKey(assignment.slice());
  }

  private UpstreamState stateOf(UpstreamId upstream) {
    return upstreamStates.computeIfAbsent(upstream, id -> new UpstreamState(new UpstreamLease(id)));
  }

  /** Sends what is due. */
  void tick(long now) {
    if (now - lastTickAt > PAUSE_THRESHOLD_MILLIS) {
      upstreamStates.values().forEach(work -> work.lease().resetSilence(now));
    }
    lastTickAt = now;
    if (!service.keyed()) {
      return;
    }
    context
        .topology()
        .inService(service.id(), row.home(), ignoreDrain())
        .forEach(upstream -> stateOf(upstream.id()));
    List.copyOf(upstreamStates.values()).stream()
        .filter(work -> !work.slicesToRelease().isEmpty() && leaseExpired(work, now))
        .forEach(work -> markReleased(work, "lease lapsed"));
    upstreamStates.values().forEach(work -> sendDueOrder(work, now));
    upstreamStates.values().removeIf(work -> !isRelevant(work));
  }

  private boolean isRelevant(UpstreamState work) {
    return work.hasSlices()
        || context.topology().inService(service.id(), row.home(), ignoreDrain()).stream()
            .anyMatch(upstream -> upstream.id().equals(work.lease().upstream()));
  }

  private boolean ignoreDrain() {
    return context.shortcut() == SkippedStep.IGNORE_DRAIN;
  }

  private boolean leaseExpired(UpstreamState work, long now) {
    if (context.shortcut() == SkippedStep.NO_LEASE_WAIT) {
      return work.lease().silent(now, context.options());
    }
    return earlierOrdersExpired(now) && work.lease().expired(now);
  }

  private boolean earlierOrdersExpired(long now) {
    return now >= confirmedAt + ClockDrift.safeWait(context.options().upstreamLeaseMillis());
  }

  private void markReleased(UpstreamState work, String reason) {
    List.copyOf(work.slicesToRelease()).stream()
        .map(slice -> row.assignments().find(slice).orElseThrow())
        .forEach(assignment -> released.put(assignment.slice(), assignment.epoch().value()));
    log("release", reason, work);
    rebuildStates();
    nextPlanAt = Long.MIN_VALUE;
    upstreamStates.values().forEach(UpstreamState::changeNow);
  }

  /** Sends an upstream the one order that is most needed. */
  private void sendDueOrder(UpstreamState work, long now) {
    UpstreamLease lease = work.lease();
    boolean orderly =
        lease.hasReplied() && lease.nextExpiry(context.options()) > lease.clockLowerBound(now);
    if (orderly
        && !work.slicesToRelease().isEmpty()
        && work.changeDue(now)
        && mayRelease(work, now)) {
      release(work, now);
    } else if (orderly && work.needsReplace() && work.changeDue(now)) {
      replace(work, now);
    } else if (work.renewalDue(now)) {
      renew(work, orderly && work.hasSlices(), now);
    }
  }

  /** Returns whether no delayed grant can give the upstream back what it releases. */
  private boolean mayRelease(UpstreamState work, long now) {
    return service.fencing() == Fencing.CHECKED
        || (earlierOrdersExpired(now) && work.lease().clockLowerBound(now) > work.releaseBarrier());
  }

  private void release(UpstreamState work, long now) {
    UpstreamLease lease = work.lease();
    long id = context.nextId();
    lease.recordRelease(id, work.generation());
    send(
        work,
        new UpstreamOrder.Release(
            cell,
            id,
            term,
            lease.incarnation(),
            lease.nextExpiry(context.options()),
            work.versionAfterRelease(),
            List.copyOf(work.slicesToRelease())),
        now);
    work.deferChange(now, CHANGE_RETRY_MILLIS);
    lease.recordExpiry(lease.nextExpiry(context.options()), false);
    if (context.shortcut() == SkippedStep.NO_RELEASE_ACK) {
      markReleased(work, "not awaited");
    }
  }

  private void replace(UpstreamState work, long now) {
    UpstreamLease lease = work.lease();
    List<SliceGrant> grants =
        row.assignments().stream()
            .filter(a -> a.owner().equals(lease.upstream()) && released(a))
            .map(a -> new SliceGrant(a.slice(), a.epoch()))
            .toList();
    long expiry = lease.nextExpiry(context.options());
    send(
        work,
        new UpstreamOrder.Replace(
            cell,
            context.nextId(),
            term,
            lease.incarnation(),
            expiry,
            work.desiredVersion(),
            grants),
        now);
    work.deferChange(now, CHANGE_RETRY_MILLIS);
    lease.recordExpiry(expiry, true);
  }

  private void renew(UpstreamState work, boolean holding, long now) {
    UpstreamLease lease = work.lease();
    if (holding) {
      long expiry = lease.nextExpiry(context.options());
      lease.recordExpiry(expiry, false);
      send(
          work,
          new UpstreamOrder.Renew(cell, context.nextId(), term, lease.incarnation(), expiry),
          now);
    } else {
      send(work, new UpstreamOrder.ReadClock(cell, context.nextId()), now);
    }
  }

  private void send(UpstreamState work, UpstreamOrder order, long now) {
    work.deferRenewal(now, context.options().renewalMillis());
    work.lease().recordSent(now);
    context.outbox().add(new OwnershipEffect.SendOrder(work.lease().upstream(), order));
  }

  /** Takes in the reply of an upstream. */
  void onReply(UpstreamId upstream, UpstreamReply reply, long now) {
    UpstreamState work = upstreamStates.get(upstream);
    if (work == null) {
      return;
    }
    boolean first = !work.lease().hasReplied();
    boolean restarted = work.lease().onReply(reply, now, context.nextId());
    boolean restartedEmpty = restarted && !work.slicesToRelease().isEmpty();
    boolean gaveUp = restartedEmpty || confirmsRelease(work, reply);
    if (gaveUp) {
      markReleased(work, restartedEmpty ? "upstream restarted" : "released");
    }
    if (first || restarted || reply.outcome() == UpstreamReply.Outcome.EXPIRED) {
      work.renewNow();
    }
    if (work.pollGranted()) {
      log("grant", "upstream holds its set", work);
      nextPlanAt = Long.MIN_VALUE;
    }
    (gaveUp ? upstreamStates.values() : List.of(work)).forEach(each -> sendDueOrder(each, now));
  }

  private static boolean confirmsRelease(UpstreamState work, UpstreamReply reply) {
    return !work.slicesToRelease().isEmpty()
        && reply.outcome() == UpstreamReply.Outcome.DONE
        && reply.running() == 0
        && reply.incarnation().equals(work.lease().incarnation())
        && work.lease().releaseGeneration(reply.orderId()) == work.generation();
  }

  /** Returns the assignments to write next; empty if there is nothing to change. */
  Optional<Assignments> plan(long now) {
    List<Target> present = eligible(now);
    if (!service.keyed() || !upstreamsContacted(now)) {
      return Optional.empty();
    }
    if (now < nextPlanAt && present.equals(eligible)) {
      return Optional.empty();
    }
    eligible = present;
    nextPlanAt = now + PLAN_INTERVAL_MILLIS;
    return new AssignmentPlanner(context, service).plan(row, eligible, this::released, now);
  }

  /** Returns whether each upstream had the time to reply to this leader. */
  private boolean upstreamsContacted(long now) {
    return now - confirmedAt >= CONTACT_TIMEOUT_MILLIS
        || upstreamStates.values().stream().allMatch(work -> work.lease().hasReplied());
  }

  private List<Target> eligible(long now) {
    return context.topology().inService(service.id(), row.home(), ignoreDrain()).stream()
        .filter(upstream -> upstreamStates.containsKey(upstream.id()))
        .filter(upstream -> isEligible(upstreamStates.get(upstream.id()), now))
        .map(upstream -> new Target(upstream.id(), upstream.slots()))
        .toList();
  }

  /** An upstream that has not replied yet keeps what it owns but gets nothing more. */
  private boolean isEligible(UpstreamState work, long now) {
    boolean silent = work.lease().silent(now, context.options());
    return context.shortcut() == SkippedStep.IGNORE_FAILURE
        || (!silent && (work.lease().hasReplied() || work.desiredVersion() != 0));
  }

  private void log(String kind, String reason, UpstreamState work) {
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
