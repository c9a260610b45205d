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
 * Decides for each request of a router where it runs and what its caller is told.
 *
 * <p>It also plays the dispatcher of the pools in its data centre for which it is elected.
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
  private RequestFlow flow;
  private DispatcherRoles roles;
  private boolean stopped;

  private RoutingReducer(RoutingSettings settings, DispatchPolicy policy, RoutingFaults faults) {
    this.settings = settings;
    this.policy = policy;
    this.faults = faults;
  }

  /** Returns a reducer that knows of no configuration, member or owner yet. */
  public static RoutingReducer create(RoutingSettings settings) {
    return new RoutingReducer(settings, DispatchPolicy.REUSE, RoutingFaults.NONE);
  }

  /** Returns a reducer with another dispatch policy. */
  public static RoutingReducer create(RoutingSettings settings, DispatchPolicy policy) {
    return new RoutingReducer(settings, policy, RoutingFaults.NONE);
  }

  /** Returns a reducer with a deliberate fault. */
  static RoutingReducer faulty(RoutingSettings settings, RoutingFaults faults) {
    return new RoutingReducer(settings, DispatchPolicy.REUSE, faults);
  }

  @Override
  public List<RoutingEffect> reduce(RoutingEvent event) {
    if (context == null) {
      context = new RoutingContext(settings, event.atMillis(), faults);
      flow = new RequestFlow(context, faults);
      roles = new DispatcherRoles(context, policy);
    }
    apply(event);
    deliverToSelf(event.atMillis());
    announceStop();
    return context.outbox().drain();
  }

  /** Returns the evidence against fingerprints, for members that have missed it. */
  public List<Evidence> evidence(long nowMillis) {
    return context == null ? List.of() : context.quarantine().evidence(nowMillis);
  }

  private void apply(RoutingEvent event) {
    if (event instanceof RoutingEvent.RequestArrived arrived) {
      flow.arrive(arrived);
    } else if (event instanceof RoutingEvent.AttemptFinished finished) {
      flow.attempts().finished(finished);
    } else if (event instanceof RoutingEvent.AnswerStarted started) {
      flow.attempts().answerStarted(started);
    } else if (event instanceof RoutingEvent.DispatchReceived received) {
      dispatch(received.atMillis(), received.from(), received.incarnation(), received.message());
    } else if (event instanceof RoutingEvent.ClaimReceived received) {
      flow.claims().receive(received.atMillis(), received.from(), received.message());
    } else if (event instanceof RoutingEvent.Tick tick) {
      tick(tick.atMillis());
    } else {
      learn(event);
    }
  }

  private void learn(RoutingEvent event) {
    if (event instanceof RoutingEvent.ConfigurationChanged changed) {
      configure(changed);
    } else if (event instanceof RoutingEvent.OwnershipLearned learned) {
      if (context.directory().learn(learned.row())) {
        flow.ownersChanged(learned.atMillis());
      }
    } else if (event instanceof RoutingEvent.MembersChanged changed) {
      context.topology().members(changed.atMillis(), changed.routers());
      roles.configure();
    } else if (event instanceof RoutingEvent.UpstreamRestarted restarted) {
      context.views().of(restarted.upstream()).seen(restarted.atMillis(), restarted.incarnation());
      roles.restarted(restarted);
    } else if (event instanceof RoutingEvent.EvidenceLearned learned) {
      learned.evidence().forEach(e -> context.quarantine().add(e, learned.atMillis()));
    } else if (event instanceof RoutingEvent.CallerGone gone) {
      RequestState request = flow.request(gone.requestId());
      if (request != null) {
        flow.callerGone(gone.atMillis(), request);
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
    roles.configure();
    flow.ownersChanged(changed.atMillis());
  }

  private void tick(long nowMillis) {
    context.quarantine().expire(nowMillis);
    flow.tick(nowMillis);
    flow.claims().tick(nowMillis);
    flow.attempts().reportLoad(nowMillis);
    roles.tick(nowMillis);
  }

  private void stop(long nowMillis) {
    flow.stop();
    if (faults == RoutingFaults.CUT_AT_STOP) {
      flow.requests().forEach(r -> flow.end(nowMillis, r, Outcome.NOT_RUN, ProblemKind.STOPPING));
    }
  }

  private void announceStop() {
    if (flow.stopping() && !stopped && flow.isEmpty() && flow.claims().settled()) {
      stopped = true;
      roles.handOver();
      context.outbox().add(new RoutingEffect.Stopped());
    }
  }

  private void deliverToSelf(long nowMillis) {
    DispatchMessage message = context.nextToSelf();
    while (message != null) {
      dispatch(nowMillis, settings.self(), settings.incarnation(), message);
      message = context.nextToSelf();
    }
  }

  private void dispatch(
      long nowMillis, MemberId from, Incarnation incarnation, DispatchMessage message) {
    SlotPoolId key = new SlotPoolId(message.service(), message.dataCentre());
    if (message instanceof DispatchMessage.SlotRefused refused) {
      RequestState request = flow.pool(nowMillis, key).refused(refused.requestId());
      if (request != null) {
        flow.slotRefused(nowMillis, request);
      }
    } else if (message instanceof DispatchMessage.SlotLease
        || message instanceof DispatchMessage.Recall
        || message instanceof DispatchMessage.LeaseHeartbeatAck) {
      flow.pool(nowMillis, key).receive(nowMillis, from, incarnation, message);
    } else {
      roles.receive(nowMillis, from, key, message);
    }
  }
}
