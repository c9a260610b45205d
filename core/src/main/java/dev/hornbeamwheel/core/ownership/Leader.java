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

/**
 * Carries out the current row as the leader of a cell: renews leases, releases and grants slices.
 */
final class Leader {
  /** Interval between retries of a release or grant. */
  private static final long CHANGE_RETRY_MILLIS = 50;

  /** Time a new leader waits for replies of its upstreams before it plans. */
  private static final long CONTACT_TIMEOUT_MILLIS = 200;

  /** Interval between plans while the eligible upstreams stay the same. */
  private static final long PLAN_INTERVAL_MILLIS = 500;

  /** Gap between ticks above which this controller itself must have been paused. */
  private static final long PAUSE_THRESHOLD_MILLIS = 300;

  private final ControllerContext context;
  private final CellId cell;
  private final Service service;
  private final long confirmedAt;
  private final TreeMap<UpstreamId, UpstreamState> upstreamStates = new TreeMap<>();
  private final Map<Slice, Long> releasedEpochs = new HashMap<>();
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

  /** Continues in a later term without a gap in leadership. */
  void continueInTerm(Term next) {
    term = next;
  }

  CellRow row() {
    return row;
  }

  /** Adopts a row that a majority of the voters has stored. */
  void adopt(CellRow next) {
    boolean sameAssignments = row != null && row.assignments().equals(next.assignments());
    row = next;
    if (!sameAssignments) {
      releasedEpochs.keySet().removeIf(slice -> !stillReleased(slice));
      rebuildStates();
      upstreamStates.values().forEach(UpstreamState::setReleaseBarrier);
    }
    context.outbox().add(new OwnershipEffect.PublishRow(row));
  }

  private boolean stillReleased(Slice slice) {
    return row.assignments()
        .find(slice)
        .filter(
            a -> a.previousOwner().isPresent() && a.epoch().value() == releasedEpochs.get(slice))
        .isPresent();
  }

  /** Rebuilds the desired state of each upstream from the row and the released slices. */
  private void rebuildStates() {
    upstreamStates.values().forEach(UpstreamState::clear);
    row.assignments().stream().forEach(this::addToStates);
  }

  private void addToStates(Assignment assignment) {
    if (released(assignment)) {
      stateOf(assignment.owner()).addDesired(assignment);
      return;
    }
    stateOf(assignment.previousOwner().orElseThrow()).addSliceToRelease(assignment);
    stateOf(assignment.owner()).addPending(assignment);
  }

  private boolean released(Assignment assignment) {
    return assignment.previousOwner().isEmpty() || releasedEpochs.containsKey(assignment.slice());
  }

  private UpstreamState stateOf(UpstreamId upstream) {
    return upstreamStates.computeIfAbsent(upstream, id -> new UpstreamState(new UpstreamLease(id)));
  }

  /** Handles expired leases and sends the orders that are due. */
  void tick(long now) {
    if (now - lastTickAt > PAUSE_THRESHOLD_MILLIS) {
      upstreamStates.values().forEach(state -> state.lease().resetSilence(now));
    }
    lastTickAt = now;
    if (!service.keyed()) {
      return;
    }
    context
        .topology()
        .inService(service.id(), row.home(), includeDrained())
        .forEach(upstream -> stateOf(upstream.id()));
    List.copyOf(upstreamStates.values()).stream()
        .filter(state -> !state.slicesToRelease().isEmpty() && leaseExpired(state, now))
        .forEach(state -> markReleased(state, "lease lapsed"));
    upstreamStates.values().forEach(state -> sendDueOrder(state, now));
    upstreamStates.values().removeIf(state -> !isRelevant(state));
  }

  private boolean isRelevant(UpstreamState state) {
    return state.hasSlices()
        || context.topology().inService(service.id(), row.home(), includeDrained()).stream()
            .anyMatch(upstream -> upstream.id().equals(state.lease().upstream()));
  }

  private boolean includeDrained() {
    return context.skippedStep() == SkippedStep.IGNORE_DRAIN;
  }

  private boolean leaseExpired(UpstreamState state, long now) {
    if (context.skippedStep() == SkippedStep.NO_LEASE_WAIT) {
      return state.lease().silent(now, context.options());
    }
    return earlierOrdersExpired(now) && state.lease().expired(now);
  }

  private boolean earlierOrdersExpired(long now) {
    return now >= confirmedAt + ClockDrift.safeWait(context.options().upstreamLeaseMillis());
  }

  private void markReleased(UpstreamState state, String reason) {
    List.copyOf(state.slicesToRelease()).stream()
        .map(slice -> row.assignments().find(slice).orElseThrow())
        .forEach(assignment -> releasedEpochs.put(assignment.slice(), assignment.epoch().value()));
    log("release", reason, state);
    rebuildStates();
    nextPlanAt = Long.MIN_VALUE;
    upstreamStates.values().forEach(UpstreamState::changeNow);
  }

  /** Sends at most one order to an upstream: a release before a replacement before a renewal. */
  private void sendDueOrder(UpstreamState state, long now) {
    UpstreamLease lease = state.lease();
    boolean clockCurrent =
        lease.hasReplied() && lease.nextExpiry(context.options()) > lease.clockLowerBound(now);
    if (clockCurrent
        && !state.slicesToRelease().isEmpty()
        && state.changeDue(now)
        && mayRelease(state, now)) {
      release(state, now);
    } else if (clockCurrent && state.needsReplace() && state.changeDue(now)) {
      replace(state, now);
    } else if (state.renewalDue(now)) {
      renew(state, clockCurrent && state.hasSlices(), now);
    }
  }

  /** Returns whether no delayed grant can restore slices that the upstream has released. */
  private boolean mayRelease(UpstreamState state, long now) {
    return service.fencing() == Fencing.CHECKED
        || (earlierOrdersExpired(now)
            && state.lease().clockLowerBound(now) > state.releaseBarrier());
  }

  private void release(UpstreamState state, long now) {
    UpstreamLease lease = state.lease();
    long id = context.nextId();
    lease.recordRelease(id, state.generation());
    send(
        state,
        new UpstreamOrder.Release(
            cell,
            id,
            term,
            lease.incarnation(),
            lease.nextExpiry(context.options()),
            state.versionAfterRelease(),
            List.copyOf(state.slicesToRelease())),
        now);
    state.deferChange(now, CHANGE_RETRY_MILLIS);
    lease.recordExpiry(lease.nextExpiry(context.options()), false);
    if (context.skippedStep() == SkippedStep.NO_RELEASE_ACK) {
      markReleased(state, "not awaited");
    }
  }

  private void replace(UpstreamState state, long now) {
    UpstreamLease lease = state.lease();
    List<SliceGrant> grants =
        row.assignments().stream()
            .filter(a -> a.owner().equals(lease.upstream()) && released(a))
            .map(a -> new SliceGrant(a.slice(), a.epoch()))
            .toList();
    long expiry = lease.nextExpiry(context.options());
    send(
        state,
        new UpstreamOrder.Replace(
            cell,
            context.nextId(),
            term,
            lease.incarnation(),
            expiry,
            state.desiredVersion(),
            grants),
        now);
    state.deferChange(now, CHANGE_RETRY_MILLIS);
    lease.recordExpiry(expiry, true);
  }

  private void renew(UpstreamState state, boolean holding, long now) {
    UpstreamLease lease = state.lease();
    if (holding) {
      long expiry = lease.nextExpiry(context.options());
      lease.recordExpiry(expiry, false);
      send(
          state,
          new UpstreamOrder.Renew(cell, context.nextId(), term, lease.incarnation(), expiry),
          now);
    } else {
      send(state, new UpstreamOrder.ReadClock(cell, context.nextId()), now);
    }
  }

  private void send(UpstreamState state, UpstreamOrder order, long now) {
    state.deferRenewal(now, context.options().renewalMillis());
    state.lease().recordSent(now);
    context.outbox().add(new OwnershipEffect.SendOrder(state.lease().upstream(), order));
  }

  /** Handles the reply of an upstream. */
  void onReply(UpstreamId upstream, UpstreamReply reply, long now) {
    UpstreamState state = upstreamStates.get(upstream);
    if (state == null) {
      return;
    }
    boolean first = !state.lease().hasReplied();
    boolean restarted = state.lease().onReply(reply, now, context.nextId());
    boolean lostByRestart = restarted && !state.slicesToRelease().isEmpty();
    boolean slicesReleased = lostByRestart || confirmsRelease(state, reply);
    if (slicesReleased) {
      markReleased(state, lostByRestart ? "upstream restarted" : "released");
    }
    if (first || restarted || reply.outcome() == UpstreamReply.Outcome.EXPIRED) {
      state.renewNow();
    }
    if (state.pollGranted()) {
      log("grant", "upstream confirmed its slices", state);
      nextPlanAt = Long.MIN_VALUE;
    }
    (slicesReleased ? upstreamStates.values() : List.of(state))
        .forEach(each -> sendDueOrder(each, now));
  }

  private static boolean confirmsRelease(UpstreamState state, UpstreamReply reply) {
    return !state.slicesToRelease().isEmpty()
        && reply.outcome() == UpstreamReply.Outcome.DONE
        && reply.running() == 0
        && reply.incarnation().equals(state.lease().incarnation())
        && state.lease().releaseGeneration(reply.orderId()) == state.generation();
  }

  /** Returns the assignments to write next, or empty if nothing changes. */
  Optional<Assignments> plan(long now) {
    List<Target> current = eligible(now);
    if (!service.keyed() || !upstreamsContacted(now)) {
      return Optional.empty();
    }
    if (now < nextPlanAt && current.equals(eligible)) {
      return Optional.empty();
    }
    eligible = current;
    nextPlanAt = now + PLAN_INTERVAL_MILLIS;
    return new AssignmentPlanner(context, service).plan(row, eligible, this::released, now);
  }

  /** Returns whether each upstream has replied to this leader or had the time to. */
  private boolean upstreamsContacted(long now) {
    return now - confirmedAt >= CONTACT_TIMEOUT_MILLIS
        || upstreamStates.values().stream().allMatch(state -> state.lease().hasReplied());
  }

  private List<Target> eligible(long now) {
    return context.topology().inService(service.id(), row.home(), includeDrained()).stream()
        .filter(upstream -> upstreamStates.containsKey(upstream.id()))
        .filter(upstream -> isEligible(upstreamStates.get(upstream.id()), now))
        .map(upstream -> new Target(upstream.id(), upstream.slots()))
        .toList();
  }

  /**
   * Returns whether an upstream may own slices; one that has not replied yet only if it owns some.
   */
  private boolean isEligible(UpstreamState state, long now) {
    boolean silent = state.lease().silent(now, context.options());
    return context.skippedStep() == SkippedStep.IGNORE_FAILURE
        || (!silent && (state.lease().hasReplied() || state.desiredVersion() != 0));
  }

  private void log(String kind, String reason, UpstreamState state) {
    context
        .outbox()
        .log(
            new Decision(
                kind,
                reason,
                cell.service().value(),
                cell.index(),
                row.version(),
                state.lease().upstream().value(),
                "",
                ""));
  }
}
