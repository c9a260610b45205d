package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.dispatch.DispatchMessage;
import dev.hornbeamwheel.core.dispatch.DispatchPolicy;
import dev.hornbeamwheel.core.dispatch.SlotPoolId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.recovery.Evidence;
import java.util.List;

/**
 * Decides where each request of a router runs and which outcome its caller receives.
 *
 * <p>It also runs the dispatchers of the slot pools in its data centre for which it is elected.
 *
 * <pre>{@code
 * RoutingReducer reducer = RoutingReducer.create(settings);
 * List<RoutingEffect> effects = reducer.reduce(new RoutingEvent.Tick(clock.millis()));
 * }</pre>
 */
public final class RoutingReducer implements Reducer<RoutingEvent, RoutingEffect> {
  private final RoutingSettings settings;
  private final RoutingFaults faults;
  private final DispatchPolicy policy;
  private RoutingContext context;
  private RequestLifecycle lifecycle;
  private LocalDispatchers localDispatchers;
  private boolean stopped;

  private RoutingReducer(RoutingSettings settings, DispatchPolicy policy, RoutingFaults faults) {
    this.settings = settings;
    this.policy = policy;
    this.faults = faults;
  }

  /** Returns a reducer without configuration, members or owners. */
  public static RoutingReducer create(RoutingSettings settings) {
    return new RoutingReducer(settings, DispatchPolicy.REUSE, RoutingFaults.NONE);
  }

  /** Returns a reducer with the given dispatch policy. */
  public static RoutingReducer create(RoutingSettings settings, DispatchPolicy policy) {
    return new RoutingReducer(settings, policy, RoutingFaults.NONE);
  }

  /** Returns a reducer with an injected fault. */
  static RoutingReducer faulty(RoutingSettings settings, RoutingFaults faults) {
    return new RoutingReducer(settings, DispatchPolicy.REUSE, faults);
  }

  @Override
  public List<RoutingEffect> reduce(RoutingEvent event) {
    if (context == null) {
      context = new RoutingContext(settings, event.atMillis(), faults);
      lifecycle = new RequestLifecycle(context, faults);
      localDispatchers = new LocalDispatchers(context, policy);
    }
    apply(event);
    deliverLocalMessages(event.atMillis());
    emitStopped();
    return context.outbox().drain();
  }

  /** Returns the current crash evidence, to be sent to members that have missed it. */
  public List<Evidence> evidence(long nowMillis) {
    return context == null ? List.of() : context.quarantine().evidence(nowMillis);
  }

  private void apply(RoutingEvent event) {
    if (event instanceof RoutingEvent.RequestArrived arrived) {
      lifecycle.accept(arrived);
    } else if (event instanceof RoutingEvent.AttemptFinished finished) {
      lifecycle.attempts().onAttemptFinished(finished);
    } else if (event instanceof RoutingEvent.ResponseStarted started) {
      lifecycle.attempts().onResponseStarted(started);
    } else if (event instanceof RoutingEvent.DispatchReceived received) {
      dispatch(received.atMillis(), received.from(), received.incarnation(), received.message());
    } else if (event instanceof RoutingEvent.ClaimReceived received) {
      lifecycle.claims().receive(received.atMillis(), received.from(), received.message());
    } else if (event instanceof RoutingEvent.Tick tick) {
      tick(tick.atMillis());
    } else {
      applyStateChange(event);
    }
  }

  private void applyStateChange(RoutingEvent event) {
    if (event instanceof RoutingEvent.ConfigurationChanged changed) {
      configure(changed);
    } else if (event instanceof RoutingEvent.OwnershipRowReceived learned) {
      if (context.directory().apply(learned.row())) {
        lifecycle.onOwnershipChanged(learned.atMillis());
      }
    } else if (event instanceof RoutingEvent.MembersChanged changed) {
      context.topology().updateRouters(changed.atMillis(), changed.routers());
      localDispatchers.configure();
    } else if (event instanceof RoutingEvent.UpstreamRestarted restarted) {
      context
          .views()
          .of(restarted.upstream())
          .recordIncarnation(restarted.atMillis(), restarted.incarnation());
      localDispatchers.onUpstreamRestarted(restarted);
    } else if (event instanceof RoutingEvent.EvidenceReceived learned) {
      learned.evidence().forEach(e -> context.quarantine().add(e, learned.atMillis()));
    } else if (event instanceof RoutingEvent.CallerDisconnected gone) {
      RequestState request = lifecycle.request(gone.requestId());
      if (request != null) {
        lifecycle.onCallerDisconnected(gone.atMillis(), request);
      }
    } else if (event instanceof RoutingEvent.Stopping stopping) {
      stop(stopping.atMillis());
    }
  }

  private void configure(RoutingEvent.ConfigurationChanged changed) {
    if (!context.topology().configure(changed.configuration())) {
      return;
    }
    changed
        .configuration()
        .declarations()
        .services()
        .forEach(service -> context.directory().declare(service));
    localDispatchers.configure();
    lifecycle.onOwnershipChanged(changed.atMillis());
  }

  private void tick(long nowMillis) {
    context.quarantine().expire(nowMillis);
    lifecycle.tick(nowMillis);
    lifecycle.claims().tick(nowMillis);
    lifecycle.attempts().reportLoad(nowMillis);
    localDispatchers.tick(nowMillis);
  }

  private void stop(long nowMillis) {
    lifecycle.stop();
    if (faults == RoutingFaults.CUT_AT_STOP) {
      lifecycle
          .requests()
          .forEach(r -> lifecycle.end(nowMillis, r, Outcome.NOT_RUN, ProblemKind.STOPPING));
    }
  }

  private void emitStopped() {
    if (lifecycle.stopping()
        && !stopped
        && lifecycle.isEmpty()
        && lifecycle.claims().allSettled()) {
      stopped = true;
      localDispatchers.handOver();
      context.outbox().add(new RoutingEffect.Stopped());
    }
  }

  private void deliverLocalMessages(long nowMillis) {
    DispatchMessage message = context.nextLocalMessage();
    while (message != null) {
      dispatch(nowMillis, settings.self(), settings.incarnation(), message);
      message = context.nextLocalMessage();
    }
  }

  private void dispatch(
      long nowMillis, MemberId from, Incarnation incarnation, DispatchMessage message) {
    SlotPoolId key = new SlotPoolId(message.service(), message.dataCentre());
    if (message instanceof DispatchMessage.SlotRefused refused) {
      RequestState request = lifecycle.pool(nowMillis, key).removeWaiting(refused.requestId());
      if (request != null) {
        lifecycle.onSlotRefused(nowMillis, request);
      }
    } else if (message instanceof DispatchMessage.SlotLease
        || message instanceof DispatchMessage.Recall
        || message instanceof DispatchMessage.LeaseHeartbeatAck) {
      lifecycle.pool(nowMillis, key).receive(nowMillis, from, incarnation, message);
    } else {
      localDispatchers.receive(nowMillis, from, key, message);
    }
  }
}
