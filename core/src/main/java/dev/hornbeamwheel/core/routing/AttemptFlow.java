package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.dispatch.DispatchMessage.UseResult;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.recovery.Evidence;
import dev.hornbeamwheel.core.routing.RequestState.Phase;

/** Runs requests on slots, and decides what follows from the end of each attempt. */
final class AttemptFlow implements SlotPool.Starter {
  /** Extra attempts that each request earns for retries. */
  private static final double RETRY_SHARE = 0.1;

  /** Extra attempts that each request earns for hedging. */
  private static final double HEDGE_SHARE = 0.05;

  /** Extra attempts that can be saved up. */
  private static final double MAX_SAVED = 20;

  /** Shortest pause before another attempt at a keyed request's owner. */
  private static final long FIRST_BACK_OFF_MILLIS = 20;

  private static final int MAX_BACK_OFF_DOUBLINGS = 5;

  private final RoutingContext context;
  private final RequestFlow flow;
  private final RoutingFaults faults;
  private final RetryBudget retries = RetryBudget.of(RETRY_SHARE, MAX_SAVED);
  private final RetryBudget hedges = RetryBudget.of(HEDGE_SHARE, MAX_SAVED);
  private final RunTimes runTimes = new RunTimes();
  private final LoadCounters load = new LoadCounters();

  AttemptFlow(RoutingContext context, RequestFlow flow, RoutingFaults faults) {
    this.context = context;
    this.flow = flow;
    this.faults = faults;
  }

  void reportLoad(long nowMillis) {
    load.tick(nowMillis, context.outbox());
  }

  void earn() {
    retries.earn();
    hedges.earn();
  }

  @Override
  public boolean start(long nowMillis, RequestState request, HeldSlot slot) {
    boolean open = request.phase == Phase.WAITING_FOR_SLOT || request.hedging;
    if (!open) {
      return false;
    }
    if (!usable(nowMillis, request, slot)) {
      request.hedging = false;
      if (request.running.isEmpty()) {
        flow.place(nowMillis, request);
      }
      return false;
    }
    request.attempts++;
    Attempt attempt = new Attempt(request.attempts, slot, nowMillis, request.hedging);
    request.hedging = false;
    request.phase = Phase.RUNNING;
    request.running.add(attempt);
    context.views().of(slot.upstream).inFlight++;
    call(request, attempt);
    return true;
  }

  void answerStarted(RoutingEvent.AnswerStarted started) {
    RequestState request = flow.request(started.requestId());
    Attempt attempt = request == null ? null : request.attempt(started.attempt());
    if (attempt == null || attempt.cancelled || request.phase == Phase.ENDED) {
      return;
    }
    if (request.resumeOffset > 0 && !request.validator.equals(started.validator())) {
      flow.end(started.atMillis(), request, Outcome.UNKNOWN, ProblemKind.ANSWER_CUT);
      return;
    }
    if (request.winner != null && request.winner != attempt) {
      return;
    }
    request.winner = attempt;
    request.streaming = true;
    cancelAll(request, attempt);
    context.outbox().add(new RoutingEffect.StreamAnswer(request.id(), attempt.number));
  }

  void finished(RoutingEvent.AttemptFinished finished) {
    RequestState request = flow.request(finished.requestId());
    Attempt attempt = request == null ? null : request.attempt(finished.attempt());
    if (attempt == null) {
      return;
    }
    long now = finished.atMillis();
    request.running.remove(attempt);
    observe(finished, request, attempt);
    conclude(now, request, attempt, finished.outcome());
    flow.forgetIfDone(request);
    attempt.slot.pool.finished(
        now,
        attempt.slot,
        useOf(finished.outcome()),
        now - attempt.startedAtMillis,
        finished.upstreamIncarnation());
  }

  /** Hedges a request that runs much longer than usual. */
  void tick(long nowMillis, RequestState request) {
    boolean hedgeable =
        request.idempotent()
            && request.target == null
            && request.running.size() == 1
            && request.attempts == 1
            && request.winner == null
            && !request.hedging
            && !request.callerGone
            && !context.suspect(request);
    if (!hedgeable) {
      return;
    }
    Attempt first = request.running.get(0);
    long ranMillis = nowMillis - first.startedAtMillis;
    boolean slow = ranMillis >= runTimes.unusualMillis(request.service.id());
    if (slow && nowMillis < request.deadlineMillis() && hedges.take()) {
      request.avoid.add(first.upstream);
      flow.hedge(nowMillis, request);
    }
  }

  /** Cancels all attempts of a request but one, which may be null. */
  void cancelAll(RequestState request, Attempt kept) {
    for (Attempt attempt : request.running) {
      if (attempt != kept && !attempt.cancelled) {
        attempt.cancelled = true;
        context.outbox().add(new RoutingEffect.CancelAttempt(request.id(), attempt.number));
      }
    }
  }

  private boolean usable(long nowMillis, RequestState request, HeldSlot slot) {
    return context.takesWork(slot.upstream)
        && nowMillis < request.deadlineMillis()
        && flow.stillOwned(request)
        && !context.quarantine().contains(request.arrival.fingerprint());
  }

  private void call(RequestState request, Attempt attempt) {
    boolean resumes = request.resumeOffset > 0;
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
                resumes ? request.validator : null));
    String reason = attempt.hedge ? "hedge" : attempt.number > 1 ? "retry" : reasonOf(attempt);
    context.outbox().log(request, "route", reason, attempt.upstream.value());
  }

  private static String reasonOf(Attempt attempt) {
    return attempt.slot.leased() ? "slot lease" : "no dispatcher";
  }

  /** Learns about the upstream and the fingerprint from the end of an attempt. */
  private void observe(
      RoutingEvent.AttemptFinished finished, RequestState request, Attempt attempt) {
    long now = finished.atMillis();
    UpstreamView view = context.views().of(attempt.upstream);
    view.inFlight--;
    view.seen(now, finished.upstreamIncarnation());
    AttemptOutcome outcome = finished.outcome();
    switch (useOf(outcome)) {
      case COMPLETED -> {
        reportIf(view.failing(), attempt.upstream, false);
        view.completed();
        if (request.service.keyed()) {
          load.add(request, now - attempt.startedAtMillis);
        }
        runTimes.add(request.service.id(), now - attempt.startedAtMillis);
        if (context.suspect(request)) {
          share(now, request, attempt.upstream, Evidence.Kind.COMPLETED);
        }
      }
      case LOST -> {
        reportIf(!view.failing(), attempt.upstream, true);
        view.lost(now);
        boolean sent = !(outcome instanceof AttemptOutcome.FailedBeforeSend);
        if (sent && !attempt.cancelled) {
          share(now, request, attempt.upstream, Evidence.Kind.CRASHED);
        }
      }
      case SHED -> view.pause(now);
      default -> {}
    }
  }

  private void reportIf(boolean changed, UpstreamId upstream, boolean failed) {
    if (changed) {
      context.outbox().add(new RoutingEffect.ReportUpstream(upstream, failed));
    }
  }

  private void share(
      long nowMillis, RequestState request, UpstreamId upstream, Evidence.Kind kind) {
    Evidence evidence = new Evidence(request.arrival.fingerprint(), upstream, kind, 0);
    if (faults != RoutingFaults.NO_QUARANTINE && context.quarantine().add(evidence, nowMillis)) {
      context.outbox().add(new RoutingEffect.ShareEvidence(evidence));
    }
  }

  /** Decides what follows for the request. */
  private void conclude(
      long nowMillis, RequestState request, Attempt attempt, AttemptOutcome outcome) {
    if (request.phase == Phase.ENDED) {
      return;
    }
    if (outcome instanceof AttemptOutcome.Completed completed) {
      flow.end(nowMillis, request, Outcome.COMPLETED, ProblemKind.NONE, completed.status());
      return;
    }
    boolean ranNot = certainlyNotRun(outcome);
    request.mayHaveRun |= !ranNot && faults != RoutingFaults.CLAIM_NOT_RUN;
    boolean othersRun = !request.running.isEmpty();
    if (othersRun && request.winner != attempt) {
      return;
    }
    request.hedging = false;
    flow.leavePool(request);
    if (request.callerGone) {
      flow.end(nowMillis, request, Outcome.NOT_RUN, ProblemKind.CALLER_GONE);
    } else if (outcome instanceof AttemptOutcome.ShortAnswer cut && request.winner == attempt) {
      resume(nowMillis, request, attempt, cut);
    } else if (request.winner == attempt) {
      flow.end(nowMillis, request, Outcome.UNKNOWN, ProblemKind.ANSWER_CUT);
    } else if (outcome instanceof AttemptOutcome.Refused refused) {
      refused(nowMillis, request, attempt, refused.refusal());
    } else if (outcome instanceof AttemptOutcome.DeadlinePassed) {
      flow.end(nowMillis, request, Outcome.UNKNOWN, ProblemKind.DEADLINE);
    } else {
      retry(nowMillis, request, attempt, ranNot);
    }
  }

  private void resume(
      long nowMillis, RequestState request, Attempt attempt, AttemptOutcome.ShortAnswer cut) {
    request.winner = null;
    if (faults == RoutingFaults.PASS_SHORT_ANSWERS) {
      flow.end(nowMillis, request, Outcome.COMPLETED, ProblemKind.NONE, 0);
    } else if (cut.validator() == null || !request.idempotent()) {
      flow.end(nowMillis, request, Outcome.UNKNOWN, ProblemKind.ANSWER_CUT);
    } else {
      request.validator = cut.validator();
      request.resumeOffset = cut.bytesReceived();
      retry(nowMillis, request, attempt, false);
    }
  }

  private void refused(long nowMillis, RequestState request, Attempt attempt, Refusal refusal) {
    boolean ownerMoved = refusal != Refusal.SHED && refusal != Refusal.EXPIRED;
    if (request.target != null && ownerMoved) {
      int cell = request.service.cellOf(request.shard);
      context.outbox().add(new RoutingEffect.RefreshOwnership(request.service.id(), cell));
      backOff(nowMillis, request);
    } else {
      retry(nowMillis, request, attempt, true);
    }
  }

  private void retry(
      long nowMillis, RequestState request, Attempt attempt, boolean certainlyNotRun) {
    boolean harmless =
        certainlyNotRun || request.idempotent() || faults == RoutingFaults.RETRY_AFTER_BYTES_SENT;
    if (!harmless) {
      flow.end(nowMillis, request, Outcome.UNKNOWN, ProblemKind.UPSTREAM_LOST);
    } else if (nowMillis >= request.deadlineMillis()) {
      flow.end(nowMillis, request, Outcome.NOT_RUN, ProblemKind.DEADLINE);
    } else if (!retries.take()) {
      flow.end(nowMillis, request, Outcome.NOT_RUN, ProblemKind.NO_CAPACITY);
    } else if (request.target != null) {
      backOff(nowMillis, request);
    } else {
      request.avoid.add(attempt.upstream);
      flow.place(nowMillis, request);
    }
  }

  private void backOff(long nowMillis, RequestState request) {
    long pause = FIRST_BACK_OFF_MILLIS << Math.min(request.backOffs, MAX_BACK_OFF_DOUBLINGS);
    request.backOffs++;
    request.phase = Phase.BACKING_OFF;
    request.resumeAtMillis = nowMillis + pause / 2 + context.random().nextInt((int) pause);
  }

  private static boolean certainlyNotRun(AttemptOutcome outcome) {
    return outcome instanceof AttemptOutcome.Refused
        || outcome instanceof AttemptOutcome.FailedBeforeSend;
  }

  private static UseResult useOf(AttemptOutcome outcome) {
    if (outcome instanceof AttemptOutcome.Completed) {
      return UseResult.COMPLETED;
    }
    if (outcome instanceof AttemptOutcome.Refused refused) {
      return refused.refusal() == Refusal.SHED ? UseResult.SHED : UseResult.REFUSED;
    }
    boolean lost =
        outcome instanceof AttemptOutcome.FailedBeforeSend
            || outcome instanceof AttemptOutcome.ConnectionLost
            || (outcome instanceof AttemptOutcome.ShortAnswer cut && cut.connectionLost());
    return lost ? UseResult.LOST : UseResult.ABANDONED;
  }
}
