package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.catalog.RequestKind;
import dev.hornbeamwheel.core.host.catalog.Route;
import dev.hornbeamwheel.core.host.catalog.ServiceSpec;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.request.InFlightRequest.State;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Processes each request of this host from its arrival to its single final response.
 *
 * <p>The coordinator grants the slot for a request; while no coordinator responds, {@link
 * LocalUpstreamSelector} selects the upstream. A non-idempotent request is retried only if it is
 * known not to have run: the upstream reported so, or no connection could be made.
 */
public final class RequestFlow {
  /** Time without a heartbeat after which the coordinator is not used, in milliseconds. */
  static final long COORDINATOR_TIMEOUT_MILLIS = 450;

  /** Retry delay sent to a caller when no estimate is available, in milliseconds. */
  private static final long DEFAULT_RETRY_AFTER_MILLIS = 300;

  /** Maximum number of attempts for one request, including those that the upstream refused. */
  private static final int MAX_SENDS = 3;

  /** A retry requires at least the route's latency target divided by this before the deadline. */
  private static final long MIN_RETRY_TARGET_DIVISOR = 4;

  private final Catalog catalog;
  private final LocalUpstreamSelector localSelector;
  private final RetryBudget retryBudget = new RetryBudget();
  private final WeightedRoundRobin serviceSelector;
  private final RequestLog log;
  private final Map<RequestRef, InFlightRequest> inFlight = new HashMap<>();
  private final Map<Long, InFlightRequest> awaitingSlot = new HashMap<>();
  private final Map<String, Long> longestTimeoutMillis = new HashMap<>();
  private final List<RequestEffect> effects = new ArrayList<>();
  private boolean coordinatorConnected;
  private long lastHeartbeatMillis = Long.MIN_VALUE / 2;
  private long nextSlotRequestNumber = 1;
  private long drainStartMillis = Long.MAX_VALUE;
  private long shutdownDeadlineMillis = Long.MAX_VALUE;

  private RequestFlow(Catalog catalog, DataCentreId localDataCentre, long seed) {
    Random random = new Random(seed);
    this.catalog = catalog;
    this.localSelector = new LocalUpstreamSelector(catalog, localDataCentre, random);
    this.serviceSelector = new WeightedRoundRobin(random);
    this.log = new RequestLog(catalog);
  }

  /**
   * Returns a flow without requests.
   *
   * @param localDataCentre data centre of this host
   * @param seed seed of the random number generator
   */
  public static RequestFlow create(Catalog catalog, DataCentreId localDataCentre, long seed) {
    return new RequestFlow(catalog, localDataCentre, seed);
  }

  /** Returns the number of requests that have no final response yet. */
  public int inFlightCount() {
    return inFlight.size();
  }

  /** Admits or rejects a new request of a caller. */
  public List<RequestEffect> requestArrived(long nowMillis, RequestRef ref, RequestHead head) {
    Optional<FleetConfiguration> configuration = catalog.configuration();
    if (configuration.isEmpty() || !catalog.loaded()) {
      rejectUnrouted(ref, head, ErrorResponse.NOT_READY);
      return drainEffects();
    }
    Optional<Route> route = configuration.get().route(head.host(), head.path());
    if (route.isEmpty()) {
      rejectUnrouted(ref, head, ErrorResponse.NO_ROUTE);
      return drainEffects();
    }
    ServiceId service = serviceSelector.next(route.get());
    boolean keyed = configuration.get().service(service).map(ServiceSpec::keyed).orElse(false);
    if (keyed && head.key().isEmpty()) {
      rejectUnrouted(ref, head, ErrorResponse.KEY_MISSING);
      return drainEffects();
    }
    InFlightRequest request =
        new InFlightRequest(
            ref,
            head,
            route.get(),
            service,
            keyed,
            nowMillis,
            targetMillis(nowMillis, route.get(), head));
    if (nowMillis >= drainStartMillis && request.deadlineMillis > shutdownDeadlineMillis) {
      rejectUnrouted(ref, head, ErrorResponse.NOT_READY);
      return drainEffects();
    }
    inFlight.put(ref, request);
    retryBudget.addTokens(service);
    requestSlot(nowMillis, request);
    return drainEffects();
  }

  /**
   * Records that the process is shutting down.
   *
   * @param drainStart time from which requests with a deadline after {@code shutdownDeadline} are
   *     rejected
   * @param shutdownDeadline latest time at which the process exits
   */
  public void shutdownStarted(long drainStart, long shutdownDeadline) {
    drainStartMillis = drainStart;
    shutdownDeadlineMillis = shutdownDeadline;
  }

  /**
   * Handles a caller that closed its connection before the response.
   *
   * <p>A non-idempotent request that is already at an upstream is not aborted.
   */
  public List<RequestEffect> callerDisconnected(long nowMillis, RequestRef ref) {
    InFlightRequest request = inFlight.get(ref);
    if (request == null) {
      return drainEffects();
    }
    request.callerDisconnected = true;
    if (request.state == State.AWAITING_SLOT) {
      cancelSlotRequest(request);
      finish(nowMillis, request, "caller disconnected while waiting for a slot");
    } else if (request.idempotent()) {
      effects.add(new RequestEffect.Abort(ref));
      recordAttemptEnd(nowMillis, request, AttemptResult.withoutResponse(Completion.CANCELLED));
      finish(nowMillis, request, "caller disconnected");
    }
    return drainEffects();
  }

  /** Handles a slot that the coordinator granted; a slot that is not needed is released. */
  public List<RequestEffect> slotGranted(
      long nowMillis, long slotRequestNumber, UpstreamId upstream, long fencingToken) {
    InFlightRequest request = awaitingSlot.remove(slotRequestNumber);
    if (request == null
        || request.state != State.AWAITING_SLOT
        || request.slotRequestNumber != slotRequestNumber) {
      effects.add(RequestEffect.ReleaseSlot.unused(slotRequestNumber, upstream));
      return drainEffects();
    }
    Optional<UpstreamRegistration> entry = catalog.upstream(upstream).filter(catalog::usable);
    if (entry.isEmpty()) {
      effects.add(RequestEffect.ReleaseSlot.unused(slotRequestNumber, upstream));
      request.excludedUpstreams.add(upstream);
      retryNotRun(nowMillis, request, true);
      return drainEffects();
    }
    request.decidedByCoordinator = true;
    request.fencingToken = fencingToken;
    send(nowMillis, request, entry.get());
    return drainEffects();
  }

  /** Handles a slot request that the coordinator refused. */
  public List<RequestEffect> slotRefused(
      long nowMillis, long slotRequestNumber, long retryAfterMillis, String reason) {
    InFlightRequest request = awaitingSlot.remove(slotRequestNumber);
    if (request != null
        && request.state == State.AWAITING_SLOT
        && request.slotRequestNumber == slotRequestNumber) {
      request.decidedByCoordinator = true;
      refuse(nowMillis, request, retryAfterMillis, reason);
    }
    return drainEffects();
  }

  /** Handles the end of an attempt: forwards the response, retries or responds with an error. */
  public List<RequestEffect> attemptEnded(long nowMillis, RequestRef ref, AttemptResult result) {
    InFlightRequest request = inFlight.get(ref);
    if (request == null || request.state != State.RUNNING) {
      return drainEffects();
    }
    recordAttemptEnd(nowMillis, request, result);
    if (request.callerDisconnected) {
      finish(nowMillis, request, "caller disconnected; " + result.completion());
      return drainEffects();
    }
    switch (result.completion()) {
      case SERVED -> forwardResponse(nowMillis, request, result);
      case FAILED -> {
        if (!retryPossiblyRun(nowMillis, request, result)) {
          forwardResponse(nowMillis, request, result);
        }
      }
      case UNREACHABLE -> retryNotRun(nowMillis, request, true);
      case NOT_RUN, MISDIRECTED -> retryNotRun(nowMillis, request, acquireRetry(request));
      case BROKEN, CANCELLED ->
          retryOrFail(nowMillis, request, result, ErrorResponse.UPSTREAM_FAILED);
      case TIMED_OUT -> retryOrFail(nowMillis, request, result, ErrorResponse.TIMED_OUT);
      default -> throw new IllegalStateException("unexpected completion: " + result.completion());
    }
    return drainEffects();
  }

  /** Handles an established connection to the coordinator; reports the running requests to it. */
  public List<RequestEffect> coordinatorConnected(long nowMillis) {
    coordinatorConnected = true;
    lastHeartbeatMillis = nowMillis;
    log.coordinatorConnected(nowMillis);
    inFlight.values().stream()
        .filter(request -> request.state == State.RUNNING)
        .forEach(
            request -> {
              request.decidedByCoordinator = true;
              effects.add(
                  new RequestEffect.ReportHeldSlot(
                      request.slotRequestNumber,
                      request.service,
                      request.key(),
                      request.upstream.id()));
            });
    return drainEffects();
  }

  /** Handles a lost connection to the coordinator; selects an upstream for each waiting request. */
  public List<RequestEffect> coordinatorLost(long nowMillis) {
    coordinatorConnected = false;
    inFlight.values().forEach(request -> request.decidedByCoordinator = false);
    selectAllLocally(nowMillis);
    return drainEffects();
  }

  /** Records a heartbeat of the coordinator. */
  public void heartbeatReceived(long nowMillis, long term, int hostCount) {
    lastHeartbeatMillis = nowMillis;
    log.heartbeatReceived(nowMillis, term);
    localSelector.updateHostCount(hostCount);
  }

  /** Replaces the known key owners of a service, mapped by the first key of each range. */
  public void replaceOwners(ServiceId service, Map<Integer, UpstreamId> byFirstKey) {
    localSelector.owners(service).replaceAll(byFirstKey);
  }

  /**
   * Updates some of the known key owners of a service.
   *
   * @param byFirstKey changed owners, mapped by the first key of each range
   * @param mergedFirstKeys first keys of the ranges that were merged into the preceding range
   */
  public void updateOwners(
      ServiceId service, Map<Integer, UpstreamId> byFirstKey, Set<Integer> mergedFirstKeys) {
    localSelector.owners(service).update(byFirstKey, mergedFirstKeys);
  }

  /**
   * Ends the requests whose deadline has passed. If the coordinator has timed out, selects
   * upstreams locally for the requests that wait for a slot.
   */
  public List<RequestEffect> tick(long nowMillis) {
    if (!awaitingSlot.isEmpty() && !coordinatorUsable(nowMillis)) {
      selectAllLocally(nowMillis);
    }
    List.copyOf(inFlight.values()).stream()
        .filter(request -> nowMillis >= request.deadlineMillis)
        .forEach(request -> expire(nowMillis, request));
    return drainEffects();
  }

  private void expire(long nowMillis, InFlightRequest request) {
    if (request.state == State.AWAITING_SLOT) {
      cancelSlotRequest(request);
      refuse(nowMillis, request, DEFAULT_RETRY_AFTER_MILLIS, "deadline passed without a slot");
      return;
    }
    effects.add(new RequestEffect.Abort(request.ref));
    recordAttemptEnd(nowMillis, request, AttemptResult.withoutResponse(Completion.TIMED_OUT));
    respondWithError(
        nowMillis, request, ErrorResponse.TIMED_OUT, 0, "no answer before the deadline");
  }

  /**
   * Returns the time by which the caller wants the response.
   *
   * <p>A timeout below the longest one seen on the route is taken as a retry by a caller that has
   * already waited for the difference.
   */
  private long targetMillis(long nowMillis, Route route, RequestHead head) {
    long longest = longestTimeoutMillis.merge(route.name(), head.timeoutMillis(), Math::max);
    long elapsedMillis = longest - head.timeoutMillis();
    return nowMillis + Math.max(0, route.targetLatencyMillis() - elapsedMillis);
  }

  private boolean coordinatorUsable(long nowMillis) {
    return coordinatorConnected && nowMillis - lastHeartbeatMillis < COORDINATOR_TIMEOUT_MILLIS;
  }

  private void requestSlot(long nowMillis, InFlightRequest request) {
    request.state = State.AWAITING_SLOT;
    request.decidedByCoordinator = false;
    request.slotRequestNumber = nextSlotRequestNumber++;
    request.slotRequestedMillis = nowMillis;
    if (!coordinatorUsable(nowMillis)) {
      selectLocally(nowMillis, request);
      return;
    }
    awaitingSlot.put(request.slotRequestNumber, request);
    if (!request.keyed) {
      request.excludedUpstreams.addAll(localSelector.unreachableUpstreams(nowMillis));
    }
    effects.add(
        new RequestEffect.RequestSlot(
            request.slotRequestNumber,
            request.service,
            request.key(),
            request.route.priority(),
            request.deadlineMillis - nowMillis,
            Math.max(0, request.targetMillis - nowMillis),
            request.route.kind() == RequestKind.IDEMPOTENT_LARGE,
            request.excludedUpstreams));
  }

  private void selectAllLocally(long nowMillis) {
    List<InFlightRequest> waitingRequests = List.copyOf(awaitingSlot.values());
    waitingRequests.forEach(
        request -> {
          cancelSlotRequest(request);
          selectLocally(nowMillis, request);
        });
  }

  private void selectLocally(long nowMillis, InFlightRequest request) {
    Optional<UpstreamRegistration> selected =
        localSelector.select(nowMillis, request.service, request.key(), request.excludedUpstreams);
    if (selected.isPresent()) {
      send(nowMillis, request, selected.get());
    } else {
      refuse(nowMillis, request, DEFAULT_RETRY_AFTER_MILLIS, "no upstream in reach has room");
    }
  }

  private void cancelSlotRequest(InFlightRequest request) {
    if (awaitingSlot.remove(request.slotRequestNumber) != null) {
      effects.add(new RequestEffect.CancelSlotRequest(request.slotRequestNumber));
    }
  }

  private void send(long nowMillis, InFlightRequest request, UpstreamRegistration upstream) {
    if (nowMillis >= request.deadlineMillis) {
      // The event loop is delayed; otherwise tick would have ended the request already.
      if (request.decidedByCoordinator) {
        effects.add(RequestEffect.ReleaseSlot.unused(request.slotRequestNumber, upstream.id()));
      }
      refuse(nowMillis, request, DEFAULT_RETRY_AFTER_MILLIS, "deadline passed before sending");
      return;
    }
    request.state = State.RUNNING;
    request.upstream = upstream;
    request.sentMillis = nowMillis;
    request.sendCount++;
    localSelector.attemptStarted(upstream.id());
    effects.add(
        new RequestEffect.Send(
            request.ref,
            upstream,
            request.deadlineMillis - nowMillis,
            request.idempotent(),
            request.decidedByCoordinator));
  }

  private void recordAttemptEnd(long nowMillis, InFlightRequest request, AttemptResult result) {
    UpstreamId upstream = request.upstream.id();
    localSelector.attemptEnded(upstream);
    if (result.completion() == Completion.UNREACHABLE) {
      localSelector.markUnreachable(nowMillis, upstream);
    } else if (result.status() > 0) {
      localSelector.markReachable(upstream);
    }
    if (request.decidedByCoordinator) {
      effects.add(
          new RequestEffect.ReleaseSlot(
              request.slotRequestNumber,
              upstream,
              result.completion(),
              nowMillis - request.sentMillis,
              result.relativeWorkPercent()));
    }
    if (result.completion() != Completion.SERVED) {
      effects.add(log.attemptFailed(nowMillis, request, result));
    }
  }

  private boolean acquireRetry(InFlightRequest request) {
    return request.sendCount < MAX_SENDS && retryBudget.tryAcquire(request.service);
  }

  /** Requests another slot for a request that did not run, or refuses the request. */
  private void retryNotRun(long nowMillis, InFlightRequest request, boolean retryAllowed) {
    if (request.upstream != null && !request.keyed) {
      request.excludedUpstreams.add(request.upstream.id());
    }
    if (retryAllowed && request.sendCount < MAX_SENDS && nowMillis < request.deadlineMillis) {
      requestSlot(nowMillis, request);
    } else {
      refuse(nowMillis, request, DEFAULT_RETRY_AFTER_MILLIS, "upstreams did not run the request");
    }
  }

  /** Requests another slot for a request that may have run; returns false if not allowed. */
  private boolean retryPossiblyRun(long nowMillis, InFlightRequest request, AttemptResult result) {
    request.mayHaveRun = true;
    request.possibleRunCount++;
    long remainingMillis = request.deadlineMillis - nowMillis;
    if (!request.idempotent()
        || request.possibleRunCount >= request.route.maxAttempts()
        || remainingMillis < request.route.targetLatencyMillis() / MIN_RETRY_TARGET_DIVISOR
        || result.completion() == Completion.TIMED_OUT
        || !acquireRetry(request)) {
      return false;
    }
    if (!request.keyed) {
      request.excludedUpstreams.add(request.upstream.id());
    }
    requestSlot(nowMillis, request);
    return true;
  }

  private void retryOrFail(
      long nowMillis, InFlightRequest request, AttemptResult result, ErrorResponse error) {
    if (!retryPossiblyRun(nowMillis, request, result)) {
      respondWithError(nowMillis, request, error, 0, "attempt failed: " + result.completion());
    }
  }

  private void forwardResponse(long nowMillis, InFlightRequest request, AttemptResult result) {
    if (result.promisesNotRun() && !request.idempotent()) {
      respondWithError(nowMillis, request, ErrorResponse.UPSTREAM_FAILED, 0, "may have run");
    } else {
      effects.add(new RequestEffect.ForwardResponse(request.ref));
      finish(nowMillis, request, "answered " + result.status());
    }
  }

  /**
   * Responds to a request that gets no slot. The response of a request that may have run in an
   * earlier attempt does not report it as not run.
   */
  private void refuse(
      long nowMillis, InFlightRequest request, long retryAfterMillis, String reason) {
    if (request.mayHaveRun) {
      respondWithError(nowMillis, request, ErrorResponse.UPSTREAM_FAILED, 0, reason);
    } else {
      respondWithError(nowMillis, request, ErrorResponse.NO_ROOM, retryAfterMillis, reason);
    }
  }

  private void respondWithError(
      long nowMillis,
      InFlightRequest request,
      ErrorResponse error,
      long retryAfterMillis,
      String reason) {
    effects.add(
        new RequestEffect.RespondWithError(
            request.ref, error, retryAfterMillis, request.decidedByCoordinator));
    inFlight.remove(request.ref);
    effects.add(log.failed(nowMillis, request, error, retryAfterMillis, reason));
  }

  private void finish(long nowMillis, InFlightRequest request, String outcome) {
    inFlight.remove(request.ref);
    if (request.callerDisconnected) {
      effects.add(new RequestEffect.Discard(request.ref));
    }
    effects.add(log.ended(nowMillis, request, outcome));
  }

  private void rejectUnrouted(RequestRef ref, RequestHead head, ErrorResponse error) {
    long retryAfterMillis = error == ErrorResponse.NOT_READY ? DEFAULT_RETRY_AFTER_MILLIS : 0;
    effects.add(new RequestEffect.RespondWithError(ref, error, retryAfterMillis, false));
    effects.add(log.unrouted(head, error));
  }

  private List<RequestEffect> drainEffects() {
    List<RequestEffect> drained = List.copyOf(effects);
    effects.clear();
    return drained;
  }
}
