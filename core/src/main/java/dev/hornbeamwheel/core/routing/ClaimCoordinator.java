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

/** Claims the idempotency key of a non-idempotent request before the request runs. */
final class ClaimCoordinator {
  /** Delay before a claim is resent to the voters that have not answered. */
  private static final long RESEND_INTERVAL_MILLIS = 60;

  /** Minimum delay before retrying a claim that another request holds. */
  private static final int MIN_BACKOFF_MILLIS = 15;

  private static final int MAX_BACKOFF_DOUBLINGS = 4;

  private final RoutingContext context;
  private final RequestLifecycle lifecycle;
  private final RoutingFaults faults;
  private final OutcomeNotifier settlements;

  ClaimCoordinator(RoutingContext context, RequestLifecycle lifecycle, RoutingFaults faults) {
    this.context = context;
    this.lifecycle = lifecycle;
    this.faults = faults;
    this.settlements =
        OutcomeNotifier.create(
            (to, message) -> context.outbox().add(new RoutingEffect.SendClaimMessage(to, message)));
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
    sendClaim(nowMillis, request);
  }

  void receive(long nowMillis, MemberId from, ClaimMessage message) {
    if (message instanceof ClaimMessage.OutcomeRecorded settled) {
      settlements.acknowledge(from, settled.requestId());
    } else if (message instanceof ClaimMessage.ClaimAnswer answer) {
      RequestState request = lifecycle.request(answer.requestId());
      if (request != null && request.phase == Phase.CLAIMING) {
        Claimant.State before = request.claimant.state();
        Claimant.State after = request.claimant.receive(from, answer);
        if (before == Claimant.State.ASKING) {
          onClaimDecided(nowMillis, request, after);
        }
      }
    }
  }

  void tickRequest(long nowMillis, RequestState request) {
    if (nowMillis >= request.deadlineMillis()) {
      failAtDeadline(nowMillis, request);
      return;
    }
    switch (request.claimant.state()) {
      case ASKING -> resendClaim(nowMillis, request);
      case BUSY, STALE -> {
        if (nowMillis >= request.retryAtMillis) {
          sendClaim(nowMillis, request);
        }
      }
      default -> {}
    }
  }

  /** Reports to the voters how a request ended, if it had sent them a claim. */
  void settle(
      long nowMillis, RequestState request, Outcome reported, ProblemKind problem, int status) {
    Claimant claimant = request.claimant;
    if (claimant == null || claimant.voters().isEmpty()) {
      return;
    }
    boolean claimWon = claimant.state() == Claimant.State.WON;
    ClaimState state = ClaimState.WITHDRAWN;
    if (claimWon && reported == Outcome.COMPLETED && problem == ProblemKind.NONE) {
      state = ClaimState.COMPLETED;
    } else if (claimWon && reported == Outcome.UNKNOWN) {
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

  boolean allSettled() {
    return settlements.isEmpty();
  }

  private void sendClaim(long nowMillis, RequestState request) {
    OwnershipRow row = context.directory().row(request.claimant.cell());
    request.claimSentAtMillis = nowMillis;
    request.retryAtMillis = nowMillis + RESEND_INTERVAL_MILLIS;
    if (row == null) {
      return;
    }
    request.claimant.startRound(row.termNumber(), row.voters());
    send(request);
    if (faults == RoutingFaults.RUN_BEFORE_MAJORITY) {
      lifecycle.schedule(nowMillis, request);
    }
  }

  private void resendClaim(long nowMillis, RequestState request) {
    OwnershipRow row = context.directory().row(request.claimant.cell());
    if (row != null && row.termNumber() != request.claimant.termNumber()) {
      sendClaim(nowMillis, request);
    } else if (nowMillis - request.claimSentAtMillis >= RESEND_INTERVAL_MILLIS) {
      request.claimSentAtMillis = nowMillis;
      send(request);
    }
  }

  private void send(RequestState request) {
    ClaimMessage.Claim claim = request.claimant.claimMessage();
    List<MemberId> unanswered = request.claimant.unansweredVoters();
    unanswered.forEach(to -> context.outbox().add(new RoutingEffect.SendClaimMessage(to, claim)));
  }

  private void onClaimDecided(long nowMillis, RequestState request, Claimant.State state) {
    switch (state) {
      case WON -> lifecycle.schedule(nowMillis, request);
      case COMPLETED ->
          lifecycle.end(
              nowMillis,
              request,
              Outcome.COMPLETED,
              ProblemKind.DUPLICATE_COMPLETED,
              request.claimant.status());
      case UNKNOWN ->
          lifecycle.end(nowMillis, request, Outcome.UNKNOWN, ProblemKind.DUPLICATE_UNKNOWN);
      case MISMATCH ->
          lifecycle.end(nowMillis, request, Outcome.NOT_RUN, ProblemKind.IDEMPOTENCY_KEY_REUSED);
      case BUSY -> backOff(nowMillis, request);
      case STALE -> {
        CellId cell = request.claimant.cell();
        context.outbox().add(new RoutingEffect.RefreshOwnership(cell.service(), cell.index()));
        request.retryAtMillis = nowMillis + RESEND_INTERVAL_MILLIS;
      }
      default -> {}
    }
  }

  /** Withdraws the votes won, so that a rival can win after a split vote, and retries later. */
  private void backOff(long nowMillis, RequestState request) {
    Claimant claimant = request.claimant;
    ClaimMessage.RecordOutcome withdrawal = claimant.outcomeMessage(ClaimState.WITHDRAWN, 0);
    claimant
        .voters()
        .forEach(to -> context.outbox().add(new RoutingEffect.SendClaimMessage(to, withdrawal)));
    int maxJitterMillis =
        MIN_BACKOFF_MILLIS << Math.min(request.backoffCount, MAX_BACKOFF_DOUBLINGS);
    request.backoffCount++;
    request.retryAtMillis =
        nowMillis + MIN_BACKOFF_MILLIS + context.random().nextInt(maxJitterMillis);
  }

  private void failAtDeadline(long nowMillis, RequestState request) {
    boolean rivalSeen = request.claimant.conflictSeen();
    lifecycle.end(
        nowMillis,
        request,
        rivalSeen ? Outcome.UNKNOWN : Outcome.NOT_RUN,
        rivalSeen ? ProblemKind.DUPLICATE_RUNNING : ProblemKind.CLAIM_UNAVAILABLE);
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
