package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.catalog.RequestKind;
import dev.hornbeamwheel.core.host.catalog.Route;
import dev.hornbeamwheel.core.host.catalog.ServiceSpec;
import dev.hornbeamwheel.core.host.catalog.UpstreamEntry;
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
 * Leads each request of this host from its arrival to its one final answer.
 *
 * <p>A request gets a slot from the coordinator, or by {@link LocalUpstreamSelector} while none is
 * heard. A request that may not run twice is sent again only if the upstream said, or the missing
 * connection shows, that it did not run.
 */
public final class RequestFlow {
  /** A coordinator from which nothing was heard for so long is not waited for. */
  static final long COORDINATOR_TIMEOUT_MILLIS = 450;

  /** Time to wait that a caller is told when nothing better is known, in milliseconds. */
  private static final long DEFAULT_RETRY_AFTER_MILLIS = 300;

  /** Most sends of one request, refused ones included. */
  private static final int MAX_SENDS = 3;

  /** A repeated attempt needs at least this part of the route's target, as one in so many. */
  private static final long MIN_RETRY_TARGET_DIVISOR = 4;

  private final Catalog catalog;
  private final LocalUpstreamSelector localSelector;
  private final RetryBudget retryBudget = new RetryBudget();
  private final WeightedRoundRobin serviceSelector;
  private final RequestLog log;
  private final Map<RequestRef, InFlightRequest> inFlight = new HashMap<>();
  private final Map<Long, InFlightRequest> awaitingSlot = new HashMap<>();
  private final Map<String, Long> longestTimeoutMillis = new HashMap<>();
  private final List<RequestEffect> pendingEffects = new ArrayList<>();
  private boolean coordinatorConnected;
  private long lastHeartbeatMillis = Long.MIN_VALUE / 2;
  private long nextSlotRequestNumber = 1;
  private long drainStartMillis = Long.MAX_VALUE;
  private long shutdownDeadlineMillis = Long.MAX_VALUE;

  private RequestFlow(Catalog catalog, DataCentreId here, long seed) {
    Random random = new Random(seed);
    this.catalog = catalog;
    this.localSelector = new LocalUpstreamSelector(catalog, here, random);
    this.serviceSelector = new WeightedRoundRobin(random);
    this.log = new RequestLog(catalog);
  }

  /**
   * Returns a flow without requests.
   *
   * @param here data centre of this host
   * @param seed seed of the random choices
   */
  public static RequestFlow create(Catalog catalog, DataCentreId here, long seed) {
    return new RequestFlow(catalog, here, seed);
  }

  /** Returns how many requests are on their way. */
  public int inFlightCount() {
    return inFlight.size();
  }

  /** Takes a request from a caller. */
  public List<RequestEffect> requestArrived(long nowMillis, RequestRef ref, RequestHead head) {
    Optional<FleetConfiguration> configuration = catalog.configuration();
    if (configuration.isEmpty() || !catalog.complete()) {
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
    InFlightRequest flight =
        new InFlightRequest(
            ref,
            head,
            route.get(),
            service,
            keyed,
            nowMillis,
            targetMillis(nowMillis, route.get(), head));
    if (nowMillis >= drainStartMillis && flight.deadlineMillis > shutdownDeadlineMillis) {
      rejectUnrouted(ref, head, ErrorResponse.NOT_READY);
      return drainEffects();
    }
    inFlight.put(ref, flight);
    retryBudget.addTokens(service);
    requestSlot(nowMillis, flight);
    return drainEffects();
  }

  /**
   * Notes that the process is stopping.
   *
   * @param lastCall from when on a request that may not end in time is refused
   * @param ends when the process ends at the latest
   */
  public void shutdownStarted(long lastCall, long ends) {
    drainStartMillis = lastCall;
    shutdownDeadlineMillis = ends;
  }

  /** Notes that a caller closed its connection before its answer. */
  public List<RequestEffect> callerDisconnected(long nowMillis, RequestRef ref) {
    InFlightRequest flight = inFlight.get(ref);
    if (flight == null) {
      return drainEffects();
    }
    flight.callerDisconnected = true;
    if (flight.state == InFlightRequest.State.AWAITING_SLOT) {
      cancelSlotRequest(flight);
      finish(nowMillis, flight, "caller left while waiting");
    } else if (flight.idempotent()) {
      pendingEffects.add(new RequestEffect.Abort(ref));
      recordAttemptEnd(nowMillis, flight, AttemptResult.withoutResponse(Completion.CANCELLED));
      finish(nowMillis, flight, "caller left");
    }
    return drainEffects();
  }

  /** Takes the coordinator's word that an ask may go to an upstream. */
  public List<RequestEffect> slotGranted(
      long nowMillis, long ask, UpstreamId upstream, long fence) {
    InFlightRequest flight = awaitingSlot.remove(ask);
    if (flight == null
        || flight.state != InFlightRequest.State.AWAITING_SLOT
        || flight.slotRequestNumber != ask) {
      pendingEffects.add(new RequestEffect.ReleaseSlot(ask, upstream, Completion.CANCELLED, 0, 0));
      return drainEffects();
    }
    Optional<UpstreamEntry> entry = catalog.upstream(upstream).filter(catalog::usable);
    if (entry.isEmpty()) {
      pendingEffects.add(new RequestEffect.ReleaseSlot(ask, upstream, Completion.CANCELLED, 0, 0));
      flight.excludedUpstreams.add(upstream);
      retryNotRun(nowMillis, flight, true);
      return drainEffects();
    }
    flight.decidedByCoordinator = true;
    flight.fencingToken = fence;
    send(nowMillis, flight, entry.get());
    return drainEffects();
  }

  /** Takes the coordinator's word that an ask cannot be met. */
  public List<RequestEffect> slotRefused(
      long nowMillis, long ask, long retryAfterMillis, String reason) {
    InFlightRequest flight = awaitingSlot.remove(ask);
    if (flight != null
        && flight.state == InFlightRequest.State.AWAITING_SLOT
        && flight.slotRequestNumber == ask) {
      flight.decidedByCoordinator = true;
      refuse(nowMillis, flight, retryAfterMillis, reason);
    }
    return drainEffects();
  }

  /** Takes the end of an attempt. */
  public List<RequestEffect> attemptEnded(long nowMillis, RequestRef ref, AttemptResult result) {
    InFlightRequest flight = inFlight.get(ref);
    if (flight == null || flight.state != InFlightRequest.State.RUNNING) {
      return drainEffects();
    }
    recordAttemptEnd(nowMillis, flight, result);
    if (flight.callerDisconnected) {
      finish(nowMillis, flight, "caller left; " + result.completion());
      return drainEffects();
    }
    switch (result.completion()) {
      case SERVED -> forwardResponse(nowMillis, flight, result);
      case FAILED -> {
        if (!retryPossiblyRun(nowMillis, flight, result)) {
          forwardResponse(nowMillis, flight, result);
        }
      }
      case UNREACHABLE -> retryNotRun(nowMillis, flight, true);
      case NOT_RUN, MISDIRECTED -> retryNotRun(nowMillis, flight, acquireRetry(flight));
      case BROKEN, CANCELLED ->
          retryOrFail(nowMillis, flight, result, ErrorResponse.UPSTREAM_FAILED);
      case TIMED_OUT -> retryOrFail(nowMillis, flight, result, ErrorResponse.TIMED_OUT);
      default -> throw new IllegalStateException("no such completion: " + result.completion());
    }
    return drainEffects();
  }

  /** Notes that the connection to the coordinator stands; running requests are told to it. */
  public List<RequestEffect> coordinatorConnected(long nowMillis) {
    coordinatorConnected = true;
    lastHeartbeatMillis = nowMillis;
    log.coordinatorConnected(nowMillis);
    inFlight.values().stream()
        .filter(flight -> flight.state == InFlightRequest.State.RUNNING)
        .forEach(
            flight -> {
              flight.decidedByCoordinator = true;
              pendingEffects.add(
                  new RequestEffect.ReportHeldSlot(
                      flight.slotRequestNumber,
                      flight.service,
                      flight.key(),
                      flight.upstream.id()));
            });
    return drainEffects();
  }

  /** Notes that the connection to the coordinator ended; what it was asked is decided here. */
  public List<RequestEffect> coordinatorLost(long nowMillis) {
    coordinatorConnected = false;
    inFlight.values().forEach(flight -> flight.decidedByCoordinator = false);
    selectAllLocally(nowMillis);
    return drainEffects();
  }

  /** Notes that the coordinator was heard. */
  public void heartbeatReceived(long nowMillis, long term, int hosts) {
    lastHeartbeatMillis = nowMillis;
    log.heartbeatReceived(nowMillis, term);
    localSelector.hosts(hosts);
  }

  /** Replaces the known owners of a service's keys, each under the first key of its range. */
  public void replaceOwners(ServiceId service, Map<Integer, UpstreamId> byFirstKey) {
    localSelector.owners(service).replace(byFirstKey);
  }

  /**
   * Changes some of the known owners of a service's keys.
   *
   * @param byFirstKey owners that changed, each under the first key of its range
   * @param joined first keys of former ranges that are part of the range before them
   */
  public void updateOwners(
      ServiceId service, Map<Integer, UpstreamId> byFirstKey, Set<Integer> joined) {
    localSelector.owners(service).change(byFirstKey, joined);
  }

  /** Ends what has reached its deadline, and stops waiting for a silent coordinator. */
  public List<RequestEffect> tick(long nowMillis) {
    if (!awaitingSlot.isEmpty() && !coordinatorUsable(nowMillis)) {
      selectAllLocally(nowMillis);
    }
    List.copyOf(inFlight.values()).stream()
        .filter(flight -> nowMillis >= flight.deadlineMillis)
        .forEach(flight -> expire(nowMillis, flight));
    return drainEffects();
  }

  private void expire(long nowMillis, InFlightRequest flight) {
    if (flight.state == InFlightRequest.State.AWAITING_SLOT) {
      cancelSlotRequest(flight);
      refuse(nowMillis, flight, DEFAULT_RETRY_AFTER_MILLIS, "deadline reached while waiting");
      return;
    }
    pendingEffects.add(new RequestEffect.Abort(flight.ref));
    recordAttemptEnd(nowMillis, flight, AttemptResult.withoutResponse(Completion.TIMED_OUT));
    respondWithError(
        nowMillis, flight, ErrorResponse.TIMED_OUT, 0, "no answer before the deadline");
  }

  /** Returns when the caller wants the answer; a repeated request has less time left. */
  private long targetMillis(long nowMillis, Route route, RequestHead head) {
    long longest = longestTimeoutMillis.merge(route.name(), head.timeoutMillis(), Math::max);
    long alreadyWaited = longest - head.timeoutMillis();
    return nowMillis + Math.max(0, route.targetMillis() - alreadyWaited);
  }

  private boolean coordinatorUsable(long nowMillis) {
    return coordinatorConnected && nowMillis - lastHeartbeatMillis < COORDINATOR_TIMEOUT_MILLIS;
  }

  private void requestSlot(long nowMillis, InFlightRequest flight) {
    flight.state = InFlightRequest.State.AWAITING_SLOT;
    flight.decidedByCoordinator = false;
    flight.slotRequestNumber = nextSlotRequestNumber++;
    flight.slotRequestedMillis = nowMillis;
    if (!coordinatorUsable(nowMillis)) {
      selectLocally(nowMillis, flight);
      return;
    }
    awaitingSlot.put(flight.slotRequestNumber, flight);
    if (!flight.keyed) {
      flight.excludedUpstreams.addAll(localSelector.unreachableUpstreams(nowMillis));
    }
    pendingEffects.add(
        new RequestEffect.RequestSlot(
            flight.slotRequestNumber,
            flight.service,
            flight.key(),
            flight.route.priority(),
            flight.deadlineMillis - nowMillis,
            Math.max(0, flight.targetMillis - nowMillis),
            flight.route.kind() == RequestKind.IDEMPOTENT_LARGE,
            flight.excludedUpstreams));
  }

  private void selectAllLocally(long nowMillis) {
    List<InFlightRequest> asking = List.copyOf(awaitingSlot.values());
    asking.forEach(
        flight -> {
          cancelSlotRequest(flight);
          selectLocally(nowMillis, flight);
        });
  }

  private void selectLocally(long nowMillis, InFlightRequest flight) {
    Optional<UpstreamEntry> chosen =
        localSelector.select(nowMillis, flight.service, flight.key(), flight.excludedUpstreams);
    if (chosen.isPresent()) {
      send(nowMillis, flight, chosen.get());
    } else {
      refuse(nowMillis, flight, DEFAULT_RETRY_AFTER_MILLIS, "no upstream in reach has room");
    }
  }

  private void cancelSlotRequest(InFlightRequest flight) {
    if (awaitingSlot.remove(flight.slotRequestNumber) != null) {
      pendingEffects.add(new RequestEffect.CancelSlotRequest(flight.slotRequestNumber));
    }
  }

  private void send(long nowMillis, InFlightRequest flight, UpstreamEntry upstream) {
    if (nowMillis >= flight.deadlineMillis) {
      // The event loop was held up: its tick would have ended the request before.
      if (flight.decidedByCoordinator) {
        pendingEffects.add(
            new RequestEffect.ReleaseSlot(
                flight.slotRequestNumber, upstream.id(), Completion.CANCELLED, 0, 0));
      }
      refuse(nowMillis, flight, DEFAULT_RETRY_AFTER_MILLIS, "deadline reached before a send");
      return;
    }
    flight.state = InFlightRequest.State.RUNNING;
    flight.upstream = upstream;
    flight.sentMillis = nowMillis;
    flight.sendCount++;
    localSelector.attemptStarted(upstream.id());
    pendingEffects.add(
        new RequestEffect.Send(
            flight.ref,
            upstream,
            flight.deadlineMillis - nowMillis,
            flight.idempotent(),
            flight.decidedByCoordinator));
  }

  private void recordAttemptEnd(long nowMillis, InFlightRequest flight, AttemptResult result) {
    UpstreamId upstream = flight.upstream.id();
    localSelector.attemptEnded(upstream);
    if (result.completion() == Completion.UNREACHABLE) {
      localSelector.markUnreachable(nowMillis, upstream);
    } else if (result.status() > 0) {
      localSelector.markReachable(upstream);
    }
    if (flight.decidedByCoordinator) {
      pendingEffects.add(
          new RequestEffect.ReleaseSlot(
              flight.slotRequestNumber,
              upstream,
              result.completion(),
              nowMillis - flight.sentMillis,
              result.relativeWorkPercent()));
    }
    if (result.completion() != Completion.SERVED) {
      pendingEffects.add(log.attemptFailed(nowMillis, flight, result));
    }
  }

  private boolean acquireRetry(InFlightRequest flight) {
    return flight.sendCount < MAX_SENDS && retryBudget.tryAcquire(flight.service);
  }

  /** Seeks another slot for a request that did not run, or refuses it. */
  private void retryNotRun(long nowMillis, InFlightRequest flight, boolean allowed) {
    if (flight.upstream != null && !flight.keyed) {
      flight.excludedUpstreams.add(flight.upstream.id());
    }
    if (allowed && flight.sendCount < MAX_SENDS && nowMillis < flight.deadlineMillis) {
      requestSlot(nowMillis, flight);
    } else {
      refuse(nowMillis, flight, DEFAULT_RETRY_AFTER_MILLIS, "upstreams did not run the request");
    }
  }

  /** Seeks another slot for a request that may have run; returns false if that is not allowed. */
  private boolean retryPossiblyRun(long nowMillis, InFlightRequest flight, AttemptResult result) {
    flight.mayHaveRun = true;
    flight.possibleRunCount++;
    long left = flight.deadlineMillis - nowMillis;
    if (!flight.idempotent()
        || flight.possibleRunCount >= flight.route.maxAttempts()
        || left < flight.route.targetMillis() / MIN_RETRY_TARGET_DIVISOR
        || result.completion() == Completion.TIMED_OUT
        || !acquireRetry(flight)) {
      return false;
    }
    if (!flight.keyed) {
      flight.excludedUpstreams.add(flight.upstream.id());
    }
    requestSlot(nowMillis, flight);
    return true;
  }

  private void retryOrFail(
      long nowMillis, InFlightRequest flight, AttemptResult result, ErrorResponse answer) {
    if (!retryPossiblyRun(nowMillis, flight, result)) {
      respondWithError(nowMillis, flight, answer, 0, "attempt ended: " + result.completion());
    }
  }

  private void forwardResponse(long nowMillis, InFlightRequest flight, AttemptResult result) {
    pendingEffects.add(new RequestEffect.ForwardResponse(flight.ref));
    finish(nowMillis, flight, "answered " + result.status());
  }

  /** Answers a request that gets no slot; what may have run before is not called unrun. */
  private void refuse(
      long nowMillis, InFlightRequest flight, long retryAfterMillis, String reason) {
    if (flight.mayHaveRun) {
      respondWithError(nowMillis, flight, ErrorResponse.UPSTREAM_FAILED, 0, reason);
    } else {
      respondWithError(nowMillis, flight, ErrorResponse.NO_ROOM, retryAfterMillis, reason);
    }
  }

  private void respondWithError(
      long nowMillis,
      InFlightRequest flight,
      ErrorResponse answer,
      long retryAfterMillis,
      String reason) {
    pendingEffects.add(
        new RequestEffect.RespondWithError(
            flight.ref, answer, retryAfterMillis, flight.decidedByCoordinator));
    inFlight.remove(flight.ref);
    pendingEffects.add(log.failed(nowMillis, flight, answer, retryAfterMillis, reason));
  }

  private void finish(long nowMillis, InFlightRequest flight, String outcome) {
    inFlight.remove(flight.ref);
    if (flight.callerDisconnected) {
      pendingEffects.add(new RequestEffect.Discard(flight.ref));
    }
    pendingEffects.add(log.ended(nowMillis, flight, outcome));
  }

  private void rejectUnrouted(RequestRef ref, RequestHead head, ErrorResponse answer) {
    long retryAfter = answer == ErrorResponse.NOT_READY ? DEFAULT_RETRY_AFTER_MILLIS : 0;
    pendingEffects.add(new RequestEffect.RespondWithError(ref, answer, retryAfter, false));
    pendingEffects.add(log.unrouted(head, answer));
  }

  private List<RequestEffect> drainEffects() {
    List<RequestEffect> effects = List.copyOf(pendingEffects);
    pendingEffects.clear();
    return effects;
  }
}
