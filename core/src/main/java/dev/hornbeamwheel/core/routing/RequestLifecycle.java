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

/** Manages requests from arrival until a slot is acquired, and ends them. */
final class RequestLifecycle {
  /** Maximum number of requests that wait or run in this process. */
  private static final int MAX_REQUESTS_IN_FLIGHT = 8_192;

  /** Retry-After time that a refused caller receives. */
  static final long RETRY_AFTER_MILLIS = 1_000;

  private final RoutingContext context;
  private final ClaimCoordinator claims;
  private final Map<RequestId, RequestState> requests = new LinkedHashMap<>();
  private final Map<SlotPoolId, SlotPool> pools = new LinkedHashMap<>();
  private final AttemptExecutor attempts;
  private boolean stopping;

  RequestLifecycle(RoutingContext context, RoutingFaults faults) {
    this.context = context;
    this.claims = new ClaimCoordinator(context, this, faults);
    this.attempts = new AttemptExecutor(context, this, faults);
  }

  ClaimCoordinator claims() {
    return claims;
  }

  AttemptExecutor attempts() {
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

  void accept(RoutingEvent.RequestArrived arrival) {
    Service service = context.topology().service(arrival.service());
    if (service == null) {
      rejectUnknownService(arrival);
      return;
    }
    long keyHash = arrival.key() == null ? 0 : arrival.key().hash();
    int shard = service.keyed() ? (int) (keyHash & (service.shards() - 1)) : 0;
    RequestState request = new RequestState(arrival, service, keyHash, shard);
    ProblemKind problem = validate(request);
    if (requests.putIfAbsent(request.id(), request) != null) {
      return;
    }
    if (problem != ProblemKind.NONE) {
      end(arrival.atMillis(), request, Outcome.NOT_RUN, problem);
      return;
    }
    attempts.accrueBudgets();
    if (arrival.idempotent() || arrival.idempotencyKey() == null) {
      schedule(arrival.atMillis(), request);
    } else {
      claims.begin(arrival.atMillis(), request);
    }
  }

  /** Acquires a slot for a request, or queues the request until its key has an owner. */
  void schedule(long nowMillis, RequestState request) {
    if (nowMillis >= request.deadlineMillis()) {
      end(nowMillis, request, Outcome.NOT_RUN, ProblemKind.DEADLINE);
      return;
    }
    if (context.quarantine().contains(request.arrival.fingerprint(), nowMillis)) {
      end(nowMillis, request, Outcome.NOT_RUN, ProblemKind.QUARANTINED);
      return;
    }
    SlotPoolId key =
        request.service.keyed() ? ownerPool(request) : nearestUntriedPool(nowMillis, request);
    if (key == null) {
      request.phase = Phase.WAITING_FOR_OWNER;
      return;
    }
    request.phase = Phase.WAITING_FOR_SLOT;
    pool(nowMillis, key).acquire(nowMillis, request);
  }

  /** Acquires a second slot for a running request, on an upstream that it was not sent to. */
  void hedge(long nowMillis, RequestState request) {
    SlotPoolId key = nearestUntriedPool(nowMillis, request);
    if (key != null) {
      request.hedgePending = true;
      pool(nowMillis, key).acquire(nowMillis, request);
    }
  }

  SlotPool pool(long nowMillis, SlotPoolId key) {
    SlotPool pool = pools.get(key);
    if (pool == null) {
      pool = new SlotPool(key, context, attempts, nowMillis);
      pools.put(key, pool);
    }
    return pool;
  }

  /** Returns whether the owner and epoch that a request is bound to are still current. */
  boolean isOwnerCurrent(RequestState request) {
    if (request.owner == null) {
      return true;
    }
    ShardTable table = context.directory().table(request.service.id());
    int isolated = table.isolatedIndex(request.keyHash);
    return Objects.equals(table.owner(request.shard, isolated), request.owner)
        && table.epoch(request.shard, isolated) == request.epoch;
  }

  /** Reschedules requests that wait for an owner or for a slot of a former owner. */
  void onOwnershipChanged(long nowMillis) {
    for (RequestState request : requests()) {
      boolean awaitsOwner = request.phase == Phase.WAITING_FOR_OWNER;
      boolean queued = request.phase == Phase.WAITING_FOR_SLOT && request.pool != null;
      boolean ownerChanged =
          queued
              && (!isOwnerCurrent(request)
                  || (request.owner != null && !context.acceptsWork(request.owner)));
      if (ownerChanged) {
        request.pool.withdraw(request);
      }
      if (awaitsOwner || ownerChanged) {
        schedule(nowMillis, request);
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

  void onCallerDisconnected(long nowMillis, RequestState request) {
    if (request.phase == Phase.ENDED) {
      return;
    }
    if (request.runningAttempts.isEmpty()) {
      end(nowMillis, request, Outcome.NOT_RUN, ProblemKind.CALLER_GONE);
      return;
    }
    request.callerDisconnected = true;
    withdrawFromPool(request);
    attempts.cancelAll(request, null);
  }

  void onSlotRefused(long nowMillis, RequestState request) {
    request.pool = null;
    if (request.hedgePending) {
      request.hedgePending = false;
      return;
    }
    end(nowMillis, request, Outcome.NOT_RUN, ProblemKind.NO_CAPACITY);
  }

  void end(long nowMillis, RequestState request, Outcome outcome, ProblemKind problem) {
    end(nowMillis, request, outcome, problem, 0);
  }

  /** Ends a request; NOT_RUN is reported as UNKNOWN if an attempt may have run. */
  void end(long nowMillis, RequestState request, Outcome outcome, ProblemKind problem, int status) {
    if (request.phase == Phase.ENDED) {
      return;
    }
    boolean inFlight = !request.runningAttempts.isEmpty();
    boolean mayHaveRun = outcome == Outcome.NOT_RUN && (request.mayHaveRun || inFlight);
    Outcome reported = mayHaveRun ? Outcome.UNKNOWN : outcome;
    withdrawFromPool(request);
    request.phase = Phase.ENDED;
    attempts.cancelAll(request, null);
    claims.settle(nowMillis, request, reported, problem, status);
    if (problem != ProblemKind.NONE) {
      context.outbox().log(request, "refuse", problem.slug(), "");
    }
    long retryAfter = retryAfterMillis(nowMillis, request, problem);
    context
        .outbox()
        .add(new RoutingEffect.EndRequest(request.id(), reported, problem, status, retryAfter));
    removeIfFinished(request);
  }

  void removeIfFinished(RequestState request) {
    if (request.phase == Phase.ENDED && request.runningAttempts.isEmpty()) {
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
      case BACKING_OFF -> rescheduleAfterBackoff(nowMillis, request);
      case WAITING_FOR_OWNER, WAITING_FOR_SLOT -> expire(nowMillis, request);
      case RUNNING -> attempts.tick(nowMillis, request);
      default -> {}
    }
  }

  private void rescheduleAfterBackoff(long nowMillis, RequestState request) {
    if (nowMillis >= request.retryAtMillis || nowMillis >= request.deadlineMillis()) {
      schedule(nowMillis, request);
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

  void withdrawFromPool(RequestState request) {
    if (request.pool != null) {
      request.pool.withdraw(request);
    }
  }

  private ProblemKind validate(RequestState request) {
    if (stopping) {
      return ProblemKind.STOPPING;
    }
    if (request.service.keyed() && request.arrival.key() == null) {
      return ProblemKind.KEY_REQUIRED;
    }
    if (context.quarantine().contains(request.arrival.fingerprint(), request.arrival.atMillis())) {
      return ProblemKind.QUARANTINED;
    }
    return requests.size() >= MAX_REQUESTS_IN_FLIGHT ? ProblemKind.QUEUE_FULL : ProblemKind.NONE;
  }

  private void rejectUnknownService(RoutingEvent.RequestArrived arrival) {
    context
        .outbox()
        .add(
            new RoutingEffect.EndRequest(
                arrival.requestId(), Outcome.NOT_RUN, ProblemKind.UNKNOWN_SERVICE, 0, 0));
  }

  private SlotPoolId ownerPool(RequestState request) {
    ShardTable table = context.directory().table(request.service.id());
    int isolated = table.isolatedIndex(request.keyHash);
    UpstreamId owner = table.owner(request.shard, isolated);
    Upstream upstream = owner == null ? null : context.topology().upstream(owner);
    if (upstream == null) {
      return null;
    }
    request.owner = owner;
    request.epoch = table.epoch(request.shard, isolated);
    request.isolatedKeyHash = isolated < 0 ? 0 : request.keyHash;
    return new SlotPoolId(request.service.id(), upstream.dataCentre());
  }

  /**
   * Returns the pool of the nearest data centre with an upstream that was not tried yet.
   *
   * <p>Prefers pools in which not every upstream is paused. If every upstream was tried and none is
   * running the request, starts over in the nearest data centre. Returns null if there is no such
   * pool.
   */
  private SlotPoolId nearestUntriedPool(long nowMillis, RequestState request) {
    List<DataCentreId> dataCentres = context.topology().dataCentres(request.service.id());
    SlotPoolId firstUntried = null;
    for (DataCentreId dataCentre : dataCentres) {
      SlotPoolId key = new SlotPoolId(request.service.id(), dataCentre);
      List<Upstream> pool = context.topology().pool(key);
      if (pool.stream().allMatch(u -> request.excludedUpstreams.contains(u.id()))) {
        continue;
      }
      firstUntried = firstUntried == null ? key : firstUntried;
      if (!pool.stream().allMatch(u -> context.views().of(u.id()).paused(nowMillis))) {
        return key;
      }
    }
    if (firstUntried == null
        && !dataCentres.isEmpty()
        && !request.hedgePending
        && request.runningAttempts.isEmpty()) {
      request.excludedUpstreams.clear();
      return new SlotPoolId(request.service.id(), dataCentres.get(0));
    }
    return firstUntried;
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
