package dev.hornbeamwheel.router.flow;

import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.routing.AttemptOutcome;
import dev.hornbeamwheel.core.routing.Outcome;
import dev.hornbeamwheel.core.routing.ProblemKind;
import dev.hornbeamwheel.core.routing.RoutingEffect;
import dev.hornbeamwheel.core.routing.RoutingEvent;
import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.router.http.CallerExchange;
import dev.hornbeamwheel.router.http.RequestProblem;
import dev.hornbeamwheel.router.upstream.AttemptSpec;
import dev.hornbeamwheel.router.upstream.UpstreamClient;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Carries out routing's effects on requests in flight; confined to the event loop. */
public final class RequestsInFlight {
  private final UpstreamClient client;
  private final RoutingInbox inbox;
  private final Clock clock;
  private final Map<RequestId, InFlightRequest> requests = new HashMap<>();
  private Map<UpstreamId, Upstream> upstreams = Map.of();

  private RequestsInFlight(UpstreamClient client, RoutingInbox inbox, Clock clock) {
    this.client = client;
    this.inbox = inbox;
    this.clock = clock;
  }

  /** Returns a flow without requests. */
  public static RequestsInFlight create(UpstreamClient client, RoutingInbox inbox, Clock clock) {
    return new RequestsInFlight(client, inbox, clock);
  }

  /** Takes over the addresses of a configuration's upstreams. */
  public void configure(Configuration configuration) {
    upstreams =
        configuration.declarations().upstreams().stream()
            .collect(Collectors.toMap(Upstream::id, Function.identity()));
  }

  /** Takes a request over, before routing hears of it. */
  public void admit(CallerExchange caller) {
    requests.put(caller.id(), new InFlightRequest(caller));
  }

  /** Returns the number of requests in flight. */
  public int size() {
    return requests.size();
  }

  /** Sends a request to an upstream. */
  public void call(RoutingEffect.CallUpstream call) {
    InFlightRequest request = requests.get(call.requestId());
    Upstream upstream = upstreams.get(call.upstream());
    if (request == null || upstream == null) {
      inbox.post(
          now ->
              new RoutingEvent.AttemptFinished(
                  now, call.requestId(), call.attempt(), 0, new AttemptOutcome.FailedBeforeSend()));
      return;
    }
    long timeoutMillis = Math.max(1, call.deadlineMillis() - clock.millis());
    AttemptRelay relay = new AttemptRelay(request, call.attempt(), timeoutMillis, inbox);
    AttemptSpec spec = spec(call, request.caller(), upstream, timeoutMillis);
    request.started(call.attempt(), client.start(spec, relay));
  }

  /** Lets the answer of an attempt pass to the caller. */
  public void stream(RoutingEffect.StreamResponse answer) {
    InFlightRequest request = requests.get(answer.requestId());
    if (request != null) {
      request.let(answer.attempt());
    }
  }

  /** Cancels an attempt. */
  public void cancel(RoutingEffect.CancelAttempt attempt) {
    InFlightRequest request = requests.get(attempt.requestId());
    if (request != null) {
      request.cancel(attempt.attempt());
    }
  }

  /** Ends a request; empty if it is not known. */
  public Optional<CallerExchange> answer(RoutingEffect.EndRequest answer) {
    InFlightRequest request = requests.remove(answer.requestId());
    if (request == null) {
      return Optional.empty();
    }
    CallerExchange caller = request.caller();
    if (answer.outcome() == Outcome.COMPLETED && answer.problem() == ProblemKind.NONE) {
      caller.complete();
    } else {
      caller.fail(answer.problem(), answer.outcome(), answer.retryAfterMillis());
    }
    request.cancelAll();
    return Optional.of(caller);
  }

  /** Refuses a request whose contract's limit is reached. */
  public void limitReached(RequestId requestId, long retryAfterMillis) {
    InFlightRequest request = requests.remove(requestId);
    if (request != null) {
      request.caller().refuse(RequestProblem.LIMIT_REACHED, retryAfterMillis);
    }
  }

  private static AttemptSpec spec(
      RoutingEffect.CallUpstream call,
      CallerExchange caller,
      Upstream upstream,
      long timeoutMillis) {
    return new AttemptSpec(
        call.requestId(),
        upstream.address(),
        caller.request().method(),
        caller.request().target(),
        caller.headers(),
        caller.body(),
        caller.request().key(),
        new Slice(call.shard(), call.keyHash()),
        call.epoch(),
        caller.request().idempotencyKey(),
        timeoutMillis,
        call.resumeOffset(),
        Optional.ofNullable(call.validator()));
  }
}
