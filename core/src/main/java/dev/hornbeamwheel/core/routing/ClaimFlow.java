package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.claims.ClaimMessage;
import dev.hornbeamwheel.core.claims.ClaimState;
import dev.hornbeamwheel.core.claims.Claimant;
import dev.hornbeamwheel.core.claims.OutcomeNotifier;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Key;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.routing.RequestState.Phase;
import java.util.List;

/** Claims the idempotency keys of non-idempotent requests before they run. */
final class ClaimFlow {
  /** Time after which voters that have not answered are asked again. */
  private static final long RESEND_MILLIS = 60;

  /** Least time before a claim is tried again that another request held. */
  private static final int BUSY_MILLIS = 15;

  private static final int MAX_BUSY_DOUBLINGS = 4;

  private final RoutingContext context;
  private final RequestFlow flow;
  private final RoutingFaults faults;
  private final OutcomeNotifier settlements;

  ClaimFlow(RoutingContext context, RequestFlow flow, RoutingFaults faults) {
    this.context = context;
    this.flow = flow;
    this.faults = faults;
    this.settlements =
        OutcomeNotifier.create(
            (to, message) -> context.outbox().add(new RoutingEffect.SendClaim(to, message)));
  }

  void begin(long nowMillis, RequestState request) {
    RoutingEvent.RequestArrived arrival = request.arrival;
    request.phase = Phase.CLAIMING;
    request.claimant =
        Claimant.of(
            cellOf(request),
            arrival.contract(),
            arrival.idempotencyKey(),
            arrival.fingerprint(),
            request.id());
    ask(nowMillis, request);
  }

  void receive(long nowMillis, MemberId from, ClaimMessage message) {
    if (message instanceof ClaimMessage.OutcomeRecorded settled) {
      settlements.acknowledge(from, settled.requestId());
    } else if (message instanceof ClaimMessage.ClaimAnswer answer) {
      RequestState request = flow.request(answer.requestId());
      if (request != null && request.phase == Phase.CLAIMING) {
        Claimant.State before = request.claimant.state();
        Claimant.State after = request.claimant.receive(from, answer);
        if (before == Claimant.State.ASKING) {
          follow(nowMillis, request, after);
        }
      }
    }
  }

  void tickRequest(long nowMillis, RequestState request) {
    if (nowMillis >= request.deadlineMillis()) {
      giveUp(nowMillis, request);
      return;
    }
    switch (request.claimant.state()) {
      case ASKING -> askAgain(nowMillis, request);
      case BUSY, STALE -> {
        if (nowMillis >= request.resumeAtMillis) {
          ask(nowMillis, request);
        }
      }
      default -> {}
    }
  }

  /** Tells the voters how a request ended, if it had asked for a claim. */
  void settle(long nowMillis, RequestState request, Outcome told, ProblemKind problem, int status) {
    Claimant claimant = request.claimant;
    if (claimant == null || claimant.voters().isEmpty()) {
      return;
    }
    boolean ran = claimant.state() == Claimant.State.WON;
    ClaimState state = ClaimState.WITHDRAWN;
    if (ran && told == Outcome.COMPLETED && problem == ProblemKind.NONE) {
      state = ClaimState.COMPLETED;
    } else if (ran && told == Outcome.UNKNOWN) {
      state = ClaimState.UNKNOWN;
    }
    settlements.add(
        nowMillis,
        claimant.outcomeMessage(state, state == ClaimState.COMPLETED ? status : 0),
        claimant.voters());
  }

  void tick(long nowMillis) {
    settlements.tick(nowMillis);
  }

  boolean settled() {
    return settlements.isEmpty();
  }

  private void ask(long nowMillis, RequestState request) {
    OwnershipRow row = context.directory().row(request.claimant.cell());
    request.claimSentAtMillis = nowMillis;
    request.resumeAtMillis = nowMillis + RESEND_MILLIS;
    if (row == null) {
      return;
    }
    request.claimant.startRound(row.termNumber(), row.voters());
    send(request);
    if (faults == RoutingFaults.RUN_BEFORE_MAJORITY) {
      flow.place(nowMillis, request);
    }
  }

  private void askAgain(long nowMillis, RequestState request) {
    OwnershipRow row = context.directory().row(request.claimant.cell());
    if (row != null && row.termNumber() != request.claimant.termNumber()) {
      ask(nowMillis, request);
    } else if (nowMillis - request.claimSentAtMillis >= RESEND_MILLIS) {
      request.claimSentAtMillis = nowMillis;
      send(request);
    }
  }

  private void send(RequestState request) {
    ClaimMessage.Claim question = request.claimant.claimMessage();
    List<MemberId> asked = request.claimant.unansweredVoters();
    asked.forEach(to -> context.outbox().add(new RoutingEffect.SendClaim(to, question)));
  }

  private void follow(long nowMillis, RequestState request, Claimant.State state) {
    switch (state) {
      case WON -> flow.place(nowMillis, request);
      case COMPLETED ->
          flow.end(
              nowMillis,
              request,
              Outcome.COMPLETED,
              ProblemKind.DUPLICATE_COMPLETED,
              request.claimant.status());
      case UNKNOWN -> flow.end(nowMillis, request, Outcome.UNKNOWN, ProblemKind.DUPLICATE_UNKNOWN);
      case MISMATCH ->
          flow.end(nowMillis, request, Outcome.NOT_RUN, ProblemKind.IDEMPOTENCY_KEY_REUSED);
      case BUSY -> backOff(nowMillis, request);
      case STALE -> {
        CellId cell = request.claimant.cell();
        context.outbox().add(new RoutingEffect.RefreshOwnership(cell.service(), cell.index()));
        request.resumeAtMillis = nowMillis + RESEND_MILLIS;
      }
      default -> {}
    }
  }

  /** Withdraws the votes won, so that a rival with a split vote can win, and tries later. */
  private void backOff(long nowMillis, RequestState request) {
    Claimant claimant = request.claimant;
    ClaimMessage.RecordOutcome withdrawal = claimant.outcomeMessage(ClaimState.WITHDRAWN, 0);
    claimant
        .voters()
        .forEach(to -> context.outbox().add(new RoutingEffect.SendClaim(to, withdrawal)));
    int longest = BUSY_MILLIS << Math.min(request.backOffs, MAX_BUSY_DOUBLINGS);
    request.backOffs++;
    request.resumeAtMillis = nowMillis + BUSY_MILLIS + context.random().nextInt(longest);
  }

  private void giveUp(long nowMillis, RequestState request) {
    boolean rival = request.claimant.conflictSeen();
    flow.end(
        nowMillis,
        request,
        rival ? Outcome.UNKNOWN : Outcome.NOT_RUN,
        rival ? ProblemKind.DUPLICATE_RUNNING : ProblemKind.CLAIM_UNAVAILABLE);
  }

  private static CellId cellOf(RequestState request) {
    Service service = request.service;
    int shard =
        service.keyed()
            ? request.shard
            : (int)
                (Key.of(request.arrival.idempotencyKey().value()).hash() & (service.shards() - 1));
    return CellId.of(service.id(), service.cellOf(shard));
  }
}
