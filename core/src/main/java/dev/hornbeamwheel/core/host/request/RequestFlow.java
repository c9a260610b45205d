package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.catalog.RequestKind;
import dev.hornbeamwheel.core.host.catalog.Route;
import dev.hornbeamwheel.core.host.catalog.ServiceSpec;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
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
 * <p>A request gets a slot from the coordinator, or by {@link LocalChoice} while none is heard. A
 * request that may not run twice is sent again only if the upstream said, or the missing connection
 * shows, that it did not run.
 */
public final class RequestFlow {
  /** A coordinator from which nothing was heard for so long is not waited for. */
  static final long COORDINATOR_SILENT_MILLIS = 450;

  /** Time to wait that a caller is told when nothing better is known, in milliseconds. */
  private static final long DEFAULT_RETRY_MILLIS = 300;

  /** Most sends of one request, refused ones included. */
  private static final int MAX_SENDS = 3;

  /** A repeated attempt needs at least this part of the route's target, as one in so many. */
  private static final long RETRY_TARGET_PART = 4;

  private final Catalog catalog;
  private final LocalChoice local;
  private final RetryBudget budget = new RetryBudget();
  private final WeightedTurns turns;
  private final RequestLog log;
  private final Map<RequestRef, Flight> flights = new HashMap<>();
  private final Map<Long, Flight> asks = new HashMap<>();
  private final Map<String, Long> longestDeadline = new HashMap<>();
  private final List<RequestEffect> out = new ArrayList<>();
  private boolean coordinatorConnected;
  private long coordinatorHeardMillis = Long.MIN_VALUE / 2;
  private long nextAsk = 1;
  private long lastCallMillis = Long.MAX_VALUE;
  private long endsMillis = Long.MAX_VALUE;

  private RequestFlow(Catalog catalog, DataCentreId here, long seed) {
    Random random = new Random(seed);
    this.catalog = catalog;
    this.local = new LocalChoice(catalog, here, random);
    this.turns = new WeightedTurns(random);
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
  public int size() {
    return flights.size();
  }

  /** Takes a request from a caller. */
  public List<RequestEffect> arrived(long nowMillis, RequestRef ref, RequestHead head) {
    Optional<FleetConfiguration> configuration = catalog.configuration();
    if (configuration.isEmpty() || !catalog.loaded()) {
      refuseUnrouted(ref, head, OwnAnswer.NOT_READY);
      return drain();
    }
    Optional<Route> route = configuration.get().route(head.host(), head.path());
    if (route.isEmpty()) {
      refuseUnrouted(ref, head, OwnAnswer.NO_ROUTE);
      return drain();
    }
    ServiceId service = turns.next(route.get());
    boolean keyed = configuration.get().service(service).map(ServiceSpec::keyed).orElse(false);
    if (keyed && head.key().isEmpty()) {
      refuseUnrouted(ref, head, OwnAnswer.KEY_MISSING);
      return drain();
    }
    Flight flight =
        new Flight(
            ref,
            head,
            route.get(),
            service,
            keyed,
            nowMillis,
            target(nowMillis, route.get(), head));
    if (nowMillis >= lastCallMillis && flight.deadlineMillis > endsMillis) {
      refuseUnrouted(ref, head, OwnAnswer.NOT_READY);
      return drain();
    }
    flights.put(ref, flight);
    budget.earn(service);
    seek(nowMillis, flight);
    return drain();
  }

  /**
   * Notes that the process is stopping.
   *
   * @param lastCall from when on a request that may not end in time is refused
   * @param ends when the process ends at the latest
   */
  public void stopping(long lastCall, long ends) {
    lastCallMillis = lastCall;
    endsMillis = ends;
  }

  /** Notes that a caller closed its connection before its answer. */
  public List<RequestEffect> callerLeft(long nowMillis, RequestRef ref) {
    Flight flight = flights.get(ref);
    if (flight == null) {
      return drain();
    }
    flight.callerLeft = true;
    if (flight.stage == Flight.Stage.ASKING) {
      voidAsk(flight);
      finish(nowMillis, flight, "caller left while waiting");
    } else if (flight.repeatable()) {
      out.add(new RequestEffect.Abort(ref));
      free(nowMillis, flight, AttemptResult.without(Completion.CANCELLED));
      finish(nowMillis, flight, "caller left");
    }
    return drain();
  }

  /** Takes the coordinator's word that an ask may go to an upstream. */
  public List<RequestEffect> given(long nowMillis, long ask, UpstreamId upstream, long fence) {
    Flight flight = asks.remove(ask);
    if (flight == null || flight.stage != Flight.Stage.ASKING || flight.ask != ask) {
      out.add(new RequestEffect.FreeSlot(ask, upstream, Completion.CANCELLED, 0, 0));
      return drain();
    }
    Optional<UpstreamRegistration> entry = catalog.upstream(upstream).filter(catalog::usable);
    if (entry.isEmpty()) {
      out.add(new RequestEffect.FreeSlot(ask, upstream, Completion.CANCELLED, 0, 0));
      flight.avoid.add(upstream);
      retryUnrun(nowMillis, flight, true);
      return drain();
    }
    flight.byCoordinator = true;
    flight.fence = fence;
    send(nowMillis, flight, entry.get());
    return drain();
  }

  /** Takes the coordinator's word that an ask cannot be met. */
  public List<RequestEffect> refused(
      long nowMillis, long ask, long retryAfterMillis, String reason) {
    Flight flight = asks.remove(ask);
    if (flight != null && flight.stage == Flight.Stage.ASKING && flight.ask == ask) {
      flight.byCoordinator = true;
      refuse(nowMillis, flight, retryAfterMillis, reason);
    }
    return drain();
  }

  /** Takes the end of an attempt. */
  public List<RequestEffect> attemptEnded(long nowMillis, RequestRef ref, AttemptResult result) {
    Flight flight = flights.get(ref);
    if (flight == null || flight.stage != Flight.Stage.RUNNING) {
      return drain();
    }
    free(nowMillis, flight, result);
    if (flight.callerLeft) {
      finish(nowMillis, flight, "caller left; " + result.completion());
      return drain();
    }
    switch (result.completion()) {
      case SERVED -> pass(nowMillis, flight, result);
      case FAILED -> {
        if (!retryRun(nowMillis, flight, result)) {
          pass(nowMillis, flight, result);
        }
      }
      case UNREACHABLE -> retryUnrun(nowMillis, flight, true);
      case NOT_RUN, MISDIRECTED -> retryUnrun(nowMillis, flight, budgetFor(flight));
      case BROKEN, CANCELLED -> failRun(nowMillis, flight, result, OwnAnswer.UPSTREAM_FAILED);
      case TIMED_OUT -> failRun(nowMillis, flight, result, OwnAnswer.TIMED_OUT);
      default -> throw new IllegalStateException("no such completion: " + result.completion());
    }
    return drain();
  }

  /** Notes that the connection to the coordinator stands; running requests are told to it. */
  public List<RequestEffect> coordinatorConnected(long nowMillis) {
    coordinatorConnected = true;
    coordinatorHeardMillis = nowMillis;
    log.coordinatorConnected(nowMillis);
    flights.values().stream()
        .filter(flight -> flight.stage == Flight.Stage.RUNNING)
        .forEach(
            flight -> {
              flight.byCoordinator = true;
              out.add(
                  new RequestEffect.HoldSlot(
                      flight.ask, flight.service, flight.key(), flight.upstream.id()));
            });
    return drain();
  }

  /** Notes that the connection to the coordinator ended; what it was asked is decided here. */
  public List<RequestEffect> coordinatorLost(long nowMillis) {
    coordinatorConnected = false;
    flights.values().forEach(flight -> flight.byCoordinator = false);
    seekLocally(nowMillis);
    return drain();
  }

  /** Notes that the coordinator was heard. */
  public void coordinatorHeard(long nowMillis, long term, int hosts) {
    coordinatorHeardMillis = nowMillis;
    log.coordinatorHeard(nowMillis, term);
    local.hosts(hosts);
  }

  /** Replaces the known owners of a service's keys, each under the first key of its range. */
  public void owners(ServiceId service, Map<Integer, UpstreamId> byFirstKey) {
    local.owners(service).replaceAll(byFirstKey);
  }

  /**
   * Changes some of the known owners of a service's keys.
   *
   * @param byFirstKey owners that changed, each under the first key of its range
   * @param joined first keys of former ranges that are part of the range before them
   */
  public void ownersChanged(
      ServiceId service, Map<Integer, UpstreamId> byFirstKey, Set<Integer> joined) {
    local.owners(service).update(byFirstKey, joined);
  }

  /** Ends what has reached its deadline, and stops waiting for a silent coordinator. */
  public List<RequestEffect> tick(long nowMillis) {
    if (!asks.isEmpty() && !coordinatorUsable(nowMillis)) {
      seekLocally(nowMillis);
    }
    List.copyOf(flights.values()).stream()
        .filter(flight -> nowMillis >= flight.deadlineMillis)
        .forEach(flight -> expire(nowMillis, flight));
    return drain();
  }

  private void expire(long nowMillis, Flight flight) {
    if (flight.stage == Flight.Stage.ASKING) {
      voidAsk(flight);
      refuse(nowMillis, flight, DEFAULT_RETRY_MILLIS, "deadline reached while waiting");
      return;
    }
    out.add(new RequestEffect.Abort(flight.ref));
    free(nowMillis, flight, AttemptResult.without(Completion.TIMED_OUT));
    answer(nowMillis, flight, OwnAnswer.TIMED_OUT, 0, "no answer before the deadline");
  }

  /** Returns when the caller wants the answer; a repeated request has less time left. */
  private long target(long nowMillis, Route route, RequestHead head) {
    long longest = longestDeadline.merge(route.name(), head.deadlineMillis(), Math::max);
    long alreadyWaited = longest - head.deadlineMillis();
    return nowMillis + Math.max(0, route.targetLatencyMillis() - alreadyWaited);
  }

  private boolean coordinatorUsable(long nowMillis) {
    return coordinatorConnected && nowMillis - coordinatorHeardMillis < COORDINATOR_SILENT_MILLIS;
  }

  private void seek(long nowMillis, Flight flight) {
    flight.stage = Flight.Stage.ASKING;
    flight.byCoordinator = false;
    flight.ask = nextAsk++;
    flight.askedMillis = nowMillis;
    if (!coordinatorUsable(nowMillis)) {
      chooseLocally(nowMillis, flight);
      return;
    }
    asks.put(flight.ask, flight);
    if (!flight.keyed) {
      flight.avoid.addAll(local.unreachable(nowMillis));
    }
    out.add(
        new RequestEffect.AskSlot(
            flight.ask,
            flight.service,
            flight.key(),
            flight.route.priority(),
            flight.deadlineMillis - nowMillis,
            Math.max(0, flight.targetMillis - nowMillis),
            flight.route.kind() == RequestKind.IDEMPOTENT_LARGE,
            flight.avoid));
  }

  private void seekLocally(long nowMillis) {
    List<Flight> asking = List.copyOf(asks.values());
    asking.forEach(
        flight -> {
          voidAsk(flight);
          chooseLocally(nowMillis, flight);
        });
  }

  private void chooseLocally(long nowMillis, Flight flight) {
    Optional<UpstreamRegistration> chosen =
        local.choose(nowMillis, flight.service, flight.key(), flight.avoid);
    if (chosen.isPresent()) {
      send(nowMillis, flight, chosen.get());
    } else {
      refuse(nowMillis, flight, DEFAULT_RETRY_MILLIS, "no upstream in reach has room");
    }
  }

  private void voidAsk(Flight flight) {
    if (asks.remove(flight.ask) != null) {
      out.add(new RequestEffect.CancelAsk(flight.ask));
    }
  }

  private void send(long nowMillis, Flight flight, UpstreamRegistration upstream) {
    if (nowMillis >= flight.deadlineMillis) {
      // The event loop was held up: its tick would have ended the request before.
      if (flight.byCoordinator) {
        out.add(new RequestEffect.FreeSlot(flight.ask, upstream.id(), Completion.CANCELLED, 0, 0));
      }
      refuse(nowMillis, flight, DEFAULT_RETRY_MILLIS, "deadline reached before a send");
      return;
    }
    flight.stage = Flight.Stage.RUNNING;
    flight.upstream = upstream;
    flight.startedMillis = nowMillis;
    flight.sends++;
    local.began(upstream.id());
    out.add(
        new RequestEffect.Send(
            flight.ref,
            upstream,
            flight.deadlineMillis - nowMillis,
            flight.repeatable(),
            flight.byCoordinator));
  }

  private void free(long nowMillis, Flight flight, AttemptResult result) {
    UpstreamId upstream = flight.upstream.id();
    local.ended(upstream);
    if (result.completion() == Completion.UNREACHABLE) {
      local.noteUnreachable(nowMillis, upstream);
    } else if (result.status() > 0) {
      local.noteReachable(upstream);
    }
    if (flight.byCoordinator) {
      out.add(
          new RequestEffect.FreeSlot(
              flight.ask,
              upstream,
              result.completion(),
              nowMillis - flight.startedMillis,
              result.workPercent()));
    }
    if (result.completion() != Completion.SERVED) {
      out.add(log.attemptFailed(nowMillis, flight, result));
    }
  }

  private boolean budgetFor(Flight flight) {
    return flight.sends < MAX_SENDS && budget.spend(flight.service);
  }

  /** Seeks another slot for a request that did not run, or refuses it. */
  private void retryUnrun(long nowMillis, Flight flight, boolean allowed) {
    if (flight.upstream != null && !flight.keyed) {
      flight.avoid.add(flight.upstream.id());
    }
    if (allowed && flight.sends < MAX_SENDS && nowMillis < flight.deadlineMillis) {
      seek(nowMillis, flight);
    } else {
      refuse(nowMillis, flight, DEFAULT_RETRY_MILLIS, "upstreams did not run the request");
    }
  }

  /** Seeks another slot for a request that may have run; returns false if that is not allowed. */
  private boolean retryRun(long nowMillis, Flight flight, AttemptResult result) {
    flight.mayHaveRun = true;
    flight.runs++;
    long left = flight.deadlineMillis - nowMillis;
    if (!flight.repeatable()
        || flight.runs >= flight.route.maxAttempts()
        || left < flight.route.targetLatencyMillis() / RETRY_TARGET_PART
        || result.completion() == Completion.TIMED_OUT
        || !budgetFor(flight)) {
      return false;
    }
    if (!flight.keyed) {
      flight.avoid.add(flight.upstream.id());
    }
    seek(nowMillis, flight);
    return true;
  }

  private void failRun(long nowMillis, Flight flight, AttemptResult result, OwnAnswer answer) {
    if (!retryRun(nowMillis, flight, result)) {
      answer(nowMillis, flight, answer, 0, "attempt ended: " + result.completion());
    }
  }

  private void pass(long nowMillis, Flight flight, AttemptResult result) {
    out.add(new RequestEffect.PassOn(flight.ref));
    finish(nowMillis, flight, "answered " + result.status());
  }

  /** Answers a request that gets no slot; what may have run before is not called unrun. */
  private void refuse(long nowMillis, Flight flight, long retryAfterMillis, String reason) {
    if (flight.mayHaveRun) {
      answer(nowMillis, flight, OwnAnswer.UPSTREAM_FAILED, 0, reason);
    } else {
      answer(nowMillis, flight, OwnAnswer.NO_ROOM, retryAfterMillis, reason);
    }
  }

  private void answer(
      long nowMillis, Flight flight, OwnAnswer answer, long retryAfterMillis, String reason) {
    out.add(new RequestEffect.Answer(flight.ref, answer, retryAfterMillis, flight.byCoordinator));
    flights.remove(flight.ref);
    out.add(log.failed(nowMillis, flight, answer, retryAfterMillis, reason));
  }

  private void finish(long nowMillis, Flight flight, String outcome) {
    flights.remove(flight.ref);
    if (flight.callerLeft) {
      out.add(new RequestEffect.Forget(flight.ref));
    }
    out.add(log.ended(nowMillis, flight, outcome));
  }

  private void refuseUnrouted(RequestRef ref, RequestHead head, OwnAnswer answer) {
    long retryAfter = answer == OwnAnswer.NOT_READY ? DEFAULT_RETRY_MILLIS : 0;
    out.add(new RequestEffect.Answer(ref, answer, retryAfter, false));
    out.add(log.unrouted(head, answer));
  }

  private List<RequestEffect> drain() {
    List<RequestEffect> effects = List.copyOf(out);
    out.clear();
    return effects;
  }
}
