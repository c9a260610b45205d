package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.dispatch.SlotPoolId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.routing.RequestState.Phase;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Takes requests from their arrival to a slot, and ends them. */
final class RequestFlow {
  /** Requests that wait or run in this process at most. */
  private static final int MAX_REQUESTS = 8_192;

  /** Time after which a refused caller is told to try again. */
  static final long RETRY_AFTER_MILLIS = 1_000;

  private final RoutingContext context;
  private final ClaimFlow claims;
  private final Map<RequestId, RequestState> requests = new LinkedHashMap<>();
  private final Map<SlotPoolId, SlotPool> pools = new LinkedHashMap<>();
  private final AttemptFlow attempts;
  private boolean stopping;

  RequestFlow(RoutingContext context, RoutingFaults faults) {
    this.context = context;
    this.claims = new ClaimFlow(context, this, faults);
    this.attempts = new AttemptFlow(context, this, faults);
  }

  ClaimFlow claims() {
    return claims;
  }

  AttemptFlow attempts() {
    return attempts;
  }

  RequestState request(RequestId id) {
    return requests.get(id);
  }

  List<RequestState> requests() {
    return new ArrayList<>(requests.values());
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  void arrive(RoutingEvent.RequestArrived arrival) {
    Service service = context.topology().service(arrival.service());
    if (service == null) {
      refuseUnknown(arrival);
      return;
    }
    long keyHash = arrival.key() == null ? 0 : arrival.key().hash();
    int shard = service.keyed() ? (int) (keyHash & (service.shards() - 1)) : 0;
    RequestState request = new RequestState(arrival, service, keyHash, shard);
    ProblemKind problem = problemOf(request);
    if (requests.putIfAbsent(request.id(), request) != null) {
      return;
    }
    if (problem != ProblemKind.NONE) {
      end(arrival.atMillis(), request, Outcome.NOT_RUN, problem);
      return;
    }
    attempts.earn();
    if (arrival.idempotent() || arrival.idempotencyKey() == null) {
      place(arrival.atMillis(), request);
    } else {
      claims.begin(arrival.atMillis(), request);
    }
  }

  /** Looks for a slot for a request that may run, or lets it wait for an owner. */
  void place(long nowMillis, RequestState request) {
    if (nowMillis >= request.deadlineMillis()) {
      end(nowMillis, request, Outcome.NOT_RUN, ProblemKind.DEADLINE);
      return;
    }
    if (context.quarantine().contains(request.arrival.fingerprint())) {
      end(nowMillis, request, Outcome.NOT_RUN, ProblemKind.QUARANTINED);
      return;
    }
    SlotPoolId key = request.service.keyed() ? poolOfOwner(request) : poolOfAny(nowMillis, request);
    if (key == null) {
      request.phase = Phase.WAITING_FOR_OWNER;
      return;
    }
    request.phase = Phase.WAITING_FOR_SLOT;
    pool(nowMillis, key).acquire(nowMillis, request);
  }

  /** Asks for a second slot for a running request, away from the upstreams that it is on. */
  void hedge(long nowMillis, RequestState request) {
    SlotPoolId key = poolOfAny(nowMillis, request);
    if (key != null) {
      request.hedging = true;
      pool(nowMillis, key).acquire(nowMillis, request);
    }
  }

  SlotPool pool(long nowMillis, SlotPoolId key) {
    SlotPool known = pools.get(key);
    if (known == null) {
      known = new SlotPool(key, context, attempts, nowMillis);
      pools.put(key, known);
    }
    return known;
  }

  /** Returns whether the owner that a request was bound to still owns its key. */
  boolean stillOwned(RequestState request) {
    if (request.target == null) {
      return true;
    }
    ShardTable table = context.directory().table(request.service.id());
    int isolated = table.isolated(request.keyHash);
    return Objects.equals(table.owner(request.shard, isolated), request.target)
        && table.epoch(request.shard, isolated) == request.epoch;
  }

  /** Places again what waits for an owner, or waits for the slot of a former owner. */
  void ownersChanged(long nowMillis) {
    for (RequestState request : requests()) {
      boolean waits = request.phase == Phase.WAITING_FOR_OWNER;
      boolean bound = request.phase == Phase.WAITING_FOR_SLOT && request.pool != null;
      boolean misplaced =
          bound
              && (!stillOwned(request)
                  || (request.target != null && !context.takesWork(request.target)));
      if (misplaced) {
        request.pool.withdraw(request);
      }
      if (waits || misplaced) {
        place(nowMillis, request);
      }
    }
  }

  void tick(long nowMillis) {
    for (RequestState request : requests()) {
      tickRequest(nowMillis, request);
    }
    context.topology().ownPools().forEach(key -> pool(nowMillis, key));
    List.copyOf(pools.values()).forEach(pool -> pool.tick(nowMillis));
  }

  void callerGone(long nowMillis, RequestState request) {
    if (request.phase == Phase.ENDED) {
      return;
    }
    if (request.running.isEmpty()) {
      end(nowMillis, request, Outcome.NOT_RUN, ProblemKind.CALLER_GONE);
      return;
    }
    request.callerGone = true;
    leavePool(request);
    attempts.cancelAll(request, null);
  }

  void slotRefused(long nowMillis, RequestState request) {
    request.pool = null;
    if (request.hedging) {
      request.hedging = false;
      return;
    }
    end(nowMillis, request, Outcome.NOT_RUN, ProblemKind.NO_CAPACITY);
  }

  void end(long nowMillis, RequestState request, Outcome outcome, ProblemKind problem) {
    end(nowMillis, request, outcome, problem, 0);
  }

  /** Tells the caller the outcome; NOT_RUN becomes UNKNOWN if an attempt may have run. */
  void end(long nowMillis, RequestState request, Outcome outcome, ProblemKind problem, int status) {
    if (request.phase == Phase.ENDED) {
      return;
    }
    boolean inFlight = !request.running.isEmpty();
    boolean doubtful = outcome == Outcome.NOT_RUN && (request.mayHaveRun || inFlight);
    Outcome told = doubtful ? Outcome.UNKNOWN : outcome;
    leavePool(request);
    request.phase = Phase.ENDED;
    attempts.cancelAll(request, null);
    claims.settle(nowMillis, request, told, problem, status);
    if (problem != ProblemKind.NONE) {
      context.outbox().log(request, "refuse", problem.slug(), "");
    }
    long retryAfter = retryAfterMillis(nowMillis, request, problem);
    context.outbox().add(new RoutingEffect.Answer(request.id(), told, problem, status, retryAfter));
    forgetIfDone(request);
  }

  void forgetIfDone(RequestState request) {
    if (request.phase == Phase.ENDED && request.running.isEmpty()) {
      requests.remove(request.id());
    }
  }

  void stop() {
    stopping = true;
    pools.values().forEach(SlotPool::stop);
  }

  boolean stopping() {
    return stopping;
  }

  private void tickRequest(long nowMillis, RequestState request) {
    switch (request.phase) {
      case CLAIMING -> claims.tickRequest(nowMillis, request);
      case BACKING_OFF -> resume(nowMillis, request);
      case WAITING_FOR_OWNER, WAITING_FOR_SLOT -> expire(nowMillis, request);
      case RUNNING -> attempts.tick(nowMillis, request);
      default -> {}
    }
  }

  private void resume(long nowMillis, RequestState request) {
    if (nowMillis >= request.resumeAtMillis || nowMillis >= request.deadlineMillis()) {
      place(nowMillis, request);
    }
  }

  private void expire(long nowMillis, RequestState request) {
    if (nowMillis < request.deadlineMillis()) {
      return;
    }
    boolean ownerless = request.phase == Phase.WAITING_FOR_OWNER;
    end(
        nowMillis,
        request,
        Outcome.NOT_RUN,
        ownerless ? ProblemKind.NO_OWNER : ProblemKind.NO_CAPACITY);
  }

  void leavePool(RequestState request) {
    if (request.pool != null) {
      request.pool.withdraw(request);
    }
  }

  private ProblemKind problemOf(RequestState request) {
    if (stopping) {
      return ProblemKind.STOPPING;
    }
    if (request.service.keyed() && request.arrival.key() == null) {
      return ProblemKind.KEY_REQUIRED;
    }
    if (context.quarantine().contains(request.arrival.fingerprint())) {
      return ProblemKind.QUARANTINED;
    }
    return requests.size() >= MAX_REQUESTS ? ProblemKind.QUEUE_FULL : ProblemKind.NONE;
  }

  private void refuseUnknown(RoutingEvent.RequestArrived arrival) {
    context
        .outbox()
        .add(
            new RoutingEffect.Answer(
                arrival.requestId(), Outcome.NOT_RUN, ProblemKind.UNKNOWN_SERVICE, 0, 0));
  }

  private SlotPoolId poolOfOwner(RequestState request) {
    ShardTable table = context.directory().table(request.service.id());
    int isolated = table.isolated(request.keyHash);
    UpstreamId owner = table.owner(request.shard, isolated);
    Upstream upstream = owner == null ? null : context.topology().upstream(owner);
    if (upstream == null) {
      return null;
    }
    request.target = owner;
    request.epoch = table.epoch(request.shard, isolated);
    request.isolatedKeyHash = isolated < 0 ? 0 : request.keyHash;
    return new SlotPoolId(request.service.id(), upstream.dataCentre());
  }

  /** Returns the nearest data centre with an upstream that the request was not tried on. */
  private SlotPoolId poolOfAny(long nowMillis, RequestState request) {
    List<DataCentreId> places = context.topology().dataCentres(request.service.id());
    SlotPoolId untried = null;
    for (DataCentreId place : places) {
      SlotPoolId key = new SlotPoolId(request.service.id(), place);
      List<Upstream> pool = context.topology().pool(key);
      if (pool.stream().allMatch(u -> request.avoid.contains(u.id()))) {
        continue;
      }
      untried = untried == null ? key : untried;
      if (!pool.stream().allMatch(u -> context.views().of(u.id()).paused(nowMillis))) {
        return key;
      }
    }
    if (untried == null && !places.isEmpty() && !request.hedging && request.running.isEmpty()) {
      request.avoid.clear();
      return new SlotPoolId(request.service.id(), places.get(0));
    }
    return untried;
  }

  private long retryAfterMillis(long nowMillis, RequestState request, ProblemKind problem) {
    return switch (problem) {
      case QUARANTINED ->
          context.quarantine().remainingMillis(request.arrival.fingerprint(), nowMillis);
      case NO_CAPACITY, NO_OWNER, QUEUE_FULL, DEADLINE, DUPLICATE_RUNNING, CLAIM_UNAVAILABLE ->
          RETRY_AFTER_MILLIS;
      default -> 0;
    };
  }
}
