package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.dispatch.DispatchMessage.UseResult;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.recovery.Evidence;
import dev.hornbeamwheel.core.routing.RequestState.Phase;

/** Sends requests to upstreams and decides what to do when each attempt ends. */
final class AttemptExecutor implements SlotPool.RequestStarter {
  /** Retry budget tokens that each request adds. */
  private static final double RETRY_TOKENS_PER_REQUEST = 0.1;

  /** Hedge budget tokens that each request adds. */
  private static final double HEDGE_TOKENS_PER_REQUEST = 0.05;

  /** Maximum number of tokens that each budget accumulates. */
  private static final double MAX_BUDGET_TOKENS = 20;

  /** Base delay before retrying a keyed request on its owner; doubles with each retry. */
  private static final long INITIAL_BACKOFF_MILLIS = 20;

  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  private final RoutingContext context;
  private final RequestLifecycle lifecycle;
  private final RoutingFaults faults;
  private final RetryBudget retryBudget =
      RetryBudget.of(RETRY_TOKENS_PER_REQUEST, MAX_BUDGET_TOKENS);
  private final RetryBudget hedgeBudget =
      RetryBudget.of(HEDGE_TOKENS_PER_REQUEST, MAX_BUDGET_TOKENS);
  private final LatencyEstimator latencies = new LatencyEstimator();
  private final LoadCounters load = new LoadCounters();

  AttemptExecutor(RoutingContext context, RequestLifecycle lifecycle, RoutingFaults faults) {
    this.context = context;
    this.lifecycle = lifecycle;
    this.faults = faults;
  }

  void reportLoad(long nowMillis) {
    load.tick(nowMillis, context.outbox());
  }

  void accrueBudgets() {
    retryBudget.deposit();
    hedgeBudget.deposit();
  }

  @Override
  public boolean start(long nowMillis, RequestState request, HeldSlot slot) {
    boolean awaitsSlot = request.phase == Phase.WAITING_FOR_SLOT || request.hedgePending;
    if (!awaitsSlot) {
      return false;
    }
    if (!mayRun(nowMillis, request, slot)) {
      request.hedgePending = false;
      if (request.runningAttempts.isEmpty()) {
        lifecycle.schedule(nowMillis, request);
      }
      return false;
    }
    request.attemptCount++;
    Attempt attempt = new Attempt(request.attemptCount, slot, nowMillis, request.hedgePending);
    request.hedgePending = false;
    request.phase = Phase.RUNNING;
    request.runningAttempts.add(attempt);
    context.views().of(slot.upstream).inFlight++;
    call(request, attempt);
    return true;
  }

  void onResponseStarted(RoutingEvent.ResponseStarted started) {
    RequestState request = lifecycle.request(started.requestId());
    Attempt attempt = request == null ? null : request.attempt(started.attempt());
    if (attempt == null || attempt.cancelled || request.phase == Phase.ENDED) {
      return;
    }
    if (request.resumeOffset > 0 && !request.validator.equals(started.validator())) {
      lifecycle.end(started.atMillis(), request, Outcome.UNKNOWN, ProblemKind.ANSWER_CUT);
      return;
    }
    if (request.respondingAttempt != null && request.respondingAttempt != attempt) {
      return;
    }
    request.respondingAttempt = attempt;
    request.streaming = true;
    cancelAll(request, attempt);
    context.outbox().add(new RoutingEffect.StreamResponse(request.id(), attempt.number));
  }

  void onAttemptFinished(RoutingEvent.AttemptFinished finished) {
    RequestState request = lifecycle.request(finished.requestId());
    Attempt attempt = request == null ? null : request.attempt(finished.attempt());
    if (attempt == null) {
      return;
    }
    long now = finished.atMillis();
    request.runningAttempts.remove(attempt);
    recordOutcome(finished, request, attempt);
    decideNextStep(now, request, attempt, finished.outcome());
    lifecycle.removeIfFinished(request);
    attempt.slot.pool.release(
        now,
        attempt.slot,
        useResultOf(finished.outcome()),
        now - attempt.startedAtMillis,
        finished.upstreamIncarnation());
  }

  /** Hedges an idempotent request whose only attempt has run past the hedging threshold. */
  void tick(long nowMillis, RequestState request) {
    boolean hedgeable =
        request.idempotent()
            && request.owner == null
            && request.runningAttempts.size() == 1
            && request.attemptCount == 1
            && request.respondingAttempt == null
            && !request.hedgePending
            && !request.callerDisconnected
            && !context.isSuspect(request);
    if (!hedgeable) {
      return;
    }
    Attempt first = request.runningAttempts.get(0);
    long elapsedMillis = nowMillis - first.startedAtMillis;
    boolean slow = elapsedMillis >= latencies.hedgeThresholdMillis(request.service.id());
    if (slow && nowMillis < request.deadlineMillis() && hedgeBudget.tryWithdraw()) {
      request.excludedUpstreams.add(first.upstream);
      lifecycle.hedge(nowMillis, request);
    }
  }

  /** Cancels every running attempt of a request except {@code kept}, which may be null. */
  void cancelAll(RequestState request, Attempt kept) {
    for (Attempt attempt : request.runningAttempts) {
      if (attempt != kept && !attempt.cancelled) {
        attempt.cancelled = true;
        context.outbox().add(new RoutingEffect.CancelAttempt(request.id(), attempt.number));
      }
    }
  }

  private boolean mayRun(long nowMillis, RequestState request, HeldSlot slot) {
    return context.acceptsWork(slot.upstream)
        && nowMillis < request.deadlineMillis()
        && lifecycle.isOwnerCurrent(request)
        && !context.quarantine().contains(request.arrival.fingerprint(), nowMillis);
  }

  private void call(RequestState request, Attempt attempt) {
    boolean resuming = request.resumeOffset > 0;
    context
        .outbox()
        .add(
            new RoutingEffect.CallUpstream(
                request.id(),
                attempt.number,
                attempt.upstream,
                request.shard,
                request.isolatedKeyHash,
                request.epoch,
                request.deadlineMillis(),
                request.resumeOffset,
                resuming ? request.validator : null));
    String reason = attempt.hedge ? "hedge" : attempt.number > 1 ? "retry" : routeReason(attempt);
    context.outbox().log(request, "route", reason, attempt.upstream.value());
  }

  private static String routeReason(Attempt attempt) {
    return attempt.slot.leased() ? "slot lease" : "no dispatcher";
  }

  /** Updates upstream health, load counters and crash evidence from an attempt's outcome. */
  private void recordOutcome(
      RoutingEvent.AttemptFinished finished, RequestState request, Attempt attempt) {
    long now = finished.atMillis();
    UpstreamView view = context.views().of(attempt.upstream);
    view.inFlight--;
    view.recordIncarnation(now, finished.upstreamIncarnation());
    AttemptOutcome outcome = finished.outcome();
    switch (useResultOf(outcome)) {
      case COMPLETED -> {
        reportIfChanged(view.failing(), attempt.upstream, false);
        view.recordSuccess();
        if (request.service.keyed()) {
          load.add(request, now - attempt.startedAtMillis);
        }
        latencies.record(request.service.id(), now - attempt.startedAtMillis);
        if (context.isSuspect(request)) {
          broadcastEvidence(now, request, attempt.upstream, Evidence.Kind.COMPLETED);
        }
      }
      case LOST -> {
        reportIfChanged(!view.failing(), attempt.upstream, true);
        view.recordLoss(now);
        boolean sent = !(outcome instanceof AttemptOutcome.FailedBeforeSend);
        if (sent && !attempt.cancelled) {
          broadcastEvidence(now, request, attempt.upstream, Evidence.Kind.CRASHED);
        }
      }
      case SHED -> view.pause(now);
      default -> {}
    }
  }

  private void reportIfChanged(boolean changed, UpstreamId upstream, boolean failed) {
    if (changed) {
      context.outbox().add(new RoutingEffect.ReportUpstream(upstream, failed));
    }
  }

  private void broadcastEvidence(
      long nowMillis, RequestState request, UpstreamId upstream, Evidence.Kind kind) {
    Evidence evidence =
        new Evidence(
            request.arrival.fingerprint(), UpstreamIncarnation.ofUnknownStart(upstream), kind, 0);
    if (faults != RoutingFaults.NO_QUARANTINE && context.quarantine().add(evidence, nowMillis)) {
      context.outbox().add(new RoutingEffect.BroadcastEvidence(evidence));
    }
  }

  /** Ends, resumes or retries a request after one of its attempts has ended. */
  private void decideNextStep(
      long nowMillis, RequestState request, Attempt attempt, AttemptOutcome outcome) {
    if (request.phase == Phase.ENDED) {
      return;
    }
    if (outcome instanceof AttemptOutcome.Completed completed) {
      lifecycle.end(nowMillis, request, Outcome.COMPLETED, ProblemKind.NONE, completed.status());
      return;
    }
    boolean notRun = certainlyNotRun(outcome);
    request.mayHaveRun |= !notRun && faults != RoutingFaults.CLAIM_NOT_RUN;
    boolean othersRunning = !request.runningAttempts.isEmpty();
    if (othersRunning && request.respondingAttempt != attempt) {
      return;
    }
    request.hedgePending = false;
    lifecycle.withdrawFromPool(request);
    if (request.callerDisconnected) {
      lifecycle.end(nowMillis, request, Outcome.NOT_RUN, ProblemKind.CALLER_GONE);
    } else if (outcome instanceof AttemptOutcome.TruncatedResponse truncated
        && request.respondingAttempt == attempt) {
      resumeResponse(nowMillis, request, attempt, truncated);
    } else if (request.respondingAttempt == attempt) {
      lifecycle.end(nowMillis, request, Outcome.UNKNOWN, ProblemKind.ANSWER_CUT);
    } else if (outcome instanceof AttemptOutcome.Refused refused) {
      onRefused(nowMillis, request, attempt, refused.refusal());
    } else if (outcome instanceof AttemptOutcome.DeadlinePassed) {
      lifecycle.end(nowMillis, request, Outcome.UNKNOWN, ProblemKind.DEADLINE);
    } else {
      retry(nowMillis, request, attempt, notRun);
    }
  }

  private void resumeResponse(
      long nowMillis,
      RequestState request,
      Attempt attempt,
      AttemptOutcome.TruncatedResponse truncated) {
    request.respondingAttempt = null;
    if (faults == RoutingFaults.PASS_SHORT_ANSWERS) {
      lifecycle.end(nowMillis, request, Outcome.COMPLETED, ProblemKind.NONE, 0);
    } else if (truncated.validator() == null || !request.idempotent()) {
      lifecycle.end(nowMillis, request, Outcome.UNKNOWN, ProblemKind.ANSWER_CUT);
    } else {
      request.validator = truncated.validator();
      request.resumeOffset = truncated.bytesReceived();
      retry(nowMillis, request, attempt, false);
    }
  }

  private void onRefused(long nowMillis, RequestState request, Attempt attempt, Refusal refusal) {
    boolean ownerMoved = refusal != Refusal.SHED && refusal != Refusal.EXPIRED;
    if (request.owner != null && ownerMoved) {
      int cell = request.service.cellOf(request.shard);
      context.outbox().add(new RoutingEffect.RefreshOwnership(request.service.id(), cell));
      backOff(nowMillis, request);
    } else {
      retry(nowMillis, request, attempt, true);
    }
  }

  private void retry(
      long nowMillis, RequestState request, Attempt attempt, boolean certainlyNotRun) {
    boolean safeToRetry =
        certainlyNotRun || request.idempotent() || faults == RoutingFaults.RETRY_AFTER_BYTES_SENT;
    if (!safeToRetry) {
      lifecycle.end(nowMillis, request, Outcome.UNKNOWN, ProblemKind.UPSTREAM_LOST);
    } else if (nowMillis >= request.deadlineMillis()) {
      lifecycle.end(nowMillis, request, Outcome.NOT_RUN, ProblemKind.DEADLINE);
    } else if (!retryBudget.tryWithdraw()) {
      lifecycle.end(nowMillis, request, Outcome.NOT_RUN, ProblemKind.NO_CAPACITY);
    } else if (request.owner != null) {
      backOff(nowMillis, request);
    } else {
      request.excludedUpstreams.add(attempt.upstream);
      lifecycle.schedule(nowMillis, request);
    }
  }

  private void backOff(long nowMillis, RequestState request) {
    long delayMillis =
        INITIAL_BACKOFF_MILLIS << Math.min(request.backoffCount, MAX_BACKOFF_DOUBLINGS);
    request.backoffCount++;
    request.phase = Phase.BACKING_OFF;
    request.retryAtMillis =
        nowMillis + delayMillis / 2 + context.random().nextInt((int) delayMillis);
  }

  private static boolean certainlyNotRun(AttemptOutcome outcome) {
    return outcome instanceof AttemptOutcome.Refused
        || outcome instanceof AttemptOutcome.FailedBeforeSend;
  }

  private static UseResult useResultOf(AttemptOutcome outcome) {
    if (outcome instanceof AttemptOutcome.Completed) {
      return UseResult.COMPLETED;
    }
    if (outcome instanceof AttemptOutcome.Refused refused) {
      return refused.refusal() == Refusal.SHED ? UseResult.SHED : UseResult.REFUSED;
    }
    boolean lost =
        outcome instanceof AttemptOutcome.FailedBeforeSend
            || outcome instanceof AttemptOutcome.ConnectionLost
            || (outcome instanceof AttemptOutcome.TruncatedResponse truncated
                && truncated.connectionLost());
    return lost ? UseResult.LOST : UseResult.ABANDONED;
  }
}
