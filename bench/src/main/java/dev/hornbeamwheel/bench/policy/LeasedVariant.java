package dev.hornbeamwheel.bench.policy;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.config.DataCentre;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.config.Fencing;
import dev.hornbeamwheel.core.config.Isolation;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.config.ServiceKind;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.dispatch.DispatchPolicy;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RegionId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.routing.AttemptOutcome;
import dev.hornbeamwheel.core.routing.Outcome;
import dev.hornbeamwheel.core.routing.Peer;
import dev.hornbeamwheel.core.routing.Refusal;
import dev.hornbeamwheel.core.routing.RoutingEffect;
import dev.hornbeamwheel.core.routing.RoutingEvent;
import dev.hornbeamwheel.core.routing.RoutingReducer;
import dev.hornbeamwheel.core.routing.RoutingSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntToLongFunction;
import java.util.stream.IntStream;

/** Slot leases as the routing reducer hands them out. */
final class LeasedVariant implements Variant {
  private static final DataCentreId QUIMPER = DataCentreId.of("quimper");
  private static final ServiceId SERVICE = ServiceId.of("order-desk");
  private static final ContractId CONTRACT = ContractId.of("mill");
  private static final long TICK_MICROS = 5_000;
  private static final long MEMBERSHIP_MICROS = 1_000_000;

  /** Calls the upstream with an index and returns what cancels the call. */
  interface Caller {
    Runnable call(int upstream, Consumer<Boolean> answer);
  }

  private final EventQueue time;
  private final Caller upstream;
  private final List<RoutingReducer> routers = new ArrayList<>();
  private final List<Peer> peers = new ArrayList<>();
  private final Map<UpstreamId, Integer> indexes = new HashMap<>();
  private final Map<RequestId, Runnable> answered = new HashMap<>();
  private final Map<RequestId, Runnable> refused = new HashMap<>();
  private final Map<String, Runnable> running = new HashMap<>();
  private final long[] received = new long[Workload.ROUTERS];
  private IntToLongFunction incarnationOf = upstreamIndex -> 1;
  private int lost = -1;
  private long nextRequest;
  private long messages;

  LeasedVariant(
      EventQueue time,
      int upstreams,
      ColdStart coldStart,
      DispatchPolicy policy,
      long seed,
      Caller upstream) {
    this.time = time;
    this.upstream = upstream;
    for (int i = 0; i < Workload.ROUTERS; i++) {
      MemberId id = MemberId.of("router-" + i);
      Incarnation incarnation = Incarnation.of(i + 1);
      peers.add(new Peer(id, incarnation, QUIMPER));
      routers.add(
          RoutingReducer.create(new RoutingSettings(id, incarnation, QUIMPER, seed + i), policy));
    }
    Configuration configuration = configuration(upstreams, coldStart);
    IntStream.range(0, Workload.ROUTERS)
        .forEach(
            i -> {
              feed(i, new RoutingEvent.ConfigurationChanged(0, configuration));
              feed(i, new RoutingEvent.MembersChanged(0, peers));
            });
    tick();
  }

  /** Sets which incarnation each upstream answers with. */
  void incarnations(IntToLongFunction incarnations) {
    incarnationOf = incarnations;
  }

  @Override
  public void request(int router, Runnable whenAnswered, Runnable whenRefused) {
    int taker = router == lost ? (router + 1) % Workload.ROUTERS : router;
    RequestId id = RequestId.of("r" + nextRequest++);
    answered.put(id, whenAnswered);
    refused.put(id, whenRefused);
    long now = time.nowMillis();
    feed(
        taker,
        new RoutingEvent.RequestArrived(
            now,
            id,
            CONTRACT,
            SERVICE,
            null,
            true,
            null,
            nextRequest,
            now + Workload.DEADLINE_MILLIS));
  }

  /** Loses the router that has received most messages, which is the dispatcher. */
  @Override
  public void loseDispatcher() {
    int busiest = 0;
    for (int i = 0; i < received.length; i++) {
      busiest = received[i] > received[busiest] ? i : busiest;
    }
    lost = busiest;
    List<Peer> left = new ArrayList<>(peers);
    left.remove(busiest);
    time.after(
        MEMBERSHIP_MICROS,
        () ->
            IntStream.range(0, Workload.ROUTERS)
                .forEach(i -> feed(i, new RoutingEvent.MembersChanged(time.nowMillis(), left))));
  }

  @Override
  public long messages() {
    return messages;
  }

  private void tick() {
    IntStream.range(0, Workload.ROUTERS)
        .forEach(i -> feed(i, new RoutingEvent.Tick(time.nowMillis())));
    time.after(TICK_MICROS, this::tick);
  }

  private void feed(int router, RoutingEvent event) {
    if (router != lost) {
      routers.get(router).reduce(event).forEach(effect -> perform(router, effect));
    }
  }

  private void perform(int router, RoutingEffect effect) {
    if (effect instanceof RoutingEffect.CallUpstream call) {
      call(router, call);
    } else if (effect instanceof RoutingEffect.CancelAttempt cancelled) {
      cancel(router, cancelled);
    } else if (effect instanceof RoutingEffect.EndRequest answer) {
      Runnable whenAnswered = answered.remove(answer.requestId());
      Runnable whenRefused = refused.remove(answer.requestId());
      (answer.outcome() == Outcome.COMPLETED ? whenAnswered : whenRefused).run();
    } else if (effect instanceof RoutingEffect.SendDispatchMessage send) {
      messages++;
      int to = Integer.parseInt(send.to().value().substring("router-".length()));
      received[to]++;
      Peer from = peers.get(router);
      time.after(
          Workload.HOP_MICROS,
          () ->
              feed(
                  to,
                  new RoutingEvent.DispatchReceived(
                      time.nowMillis(), from.id(), from.incarnation(), send.message())));
    }
  }

  private void call(int router, RoutingEffect.CallUpstream call) {
    time.after(
        Workload.HOP_MICROS,
        () -> {
          Runnable cancel =
              upstream.call(
                  indexes.get(call.upstream()),
                  ok -> time.after(Workload.HOP_MICROS, () -> finished(router, call, ok)));
          running.put(call.requestId() + "/" + call.attempt(), cancel);
        });
  }

  private void cancel(int router, RoutingEffect.CancelAttempt cancelled) {
    Runnable cancel = running.remove(cancelled.requestId() + "/" + cancelled.attempt());
    if (cancel != null) {
      time.after(
          Workload.HOP_MICROS,
          () -> {
            cancel.run();
            feed(
                router,
                new RoutingEvent.AttemptFinished(
                    time.nowMillis(),
                    cancelled.requestId(),
                    cancelled.attempt(),
                    0,
                    new AttemptOutcome.Cancelled()));
          });
    }
  }

  private void finished(int router, RoutingEffect.CallUpstream call, boolean ok) {
    running.remove(call.requestId() + "/" + call.attempt());
    AttemptOutcome outcome =
        ok ? new AttemptOutcome.Completed(200) : new AttemptOutcome.Refused(Refusal.SHED);
    feed(
        router,
        new RoutingEvent.AttemptFinished(
            time.nowMillis(),
            call.requestId(),
            call.attempt(),
            incarnationOf.applyAsLong(indexes.get(call.upstream())),
            outcome));
  }

  private Configuration configuration(int upstreams, ColdStart coldStart) {
    List<Upstream> declared = new ArrayList<>();
    for (int i = 0; i < upstreams; i++) {
      UpstreamId id = UpstreamId.of("order-desk-" + i);
      indexes.put(id, i);
      declared.add(
          new Upstream(id, SERVICE, QUIMPER, "127.0.0.1:" + (9_000 + i), Workload.SLOTS, 100));
    }
    Service service =
        new Service(
            SERVICE,
            ServiceKind.POOLED,
            1,
            1,
            Fencing.CHECKED,
            Isolation.KEEP_SERVING,
            coldStart,
            Workload.DEADLINE_MILLIS);
    return new Configuration(
        1,
        new Declarations(
            List.of(new DataCentre(QUIMPER, RegionId.of("armor"))),
            List.of(service),
            declared,
            List.of(),
            Set.of(),
            Set.of(),
            Set.of()));
  }
}
