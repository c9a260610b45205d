package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.claims.ClaimEffect;
import dev.hornbeamwheel.core.claims.ClaimEvent;
import dev.hornbeamwheel.core.claims.ClaimMessage;
import dev.hornbeamwheel.core.claims.ClaimTerm;
import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.recovery.Evidence;
import dev.hornbeamwheel.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;

/** Simulates routers, voters, upstreams and callers of one data centre in virtual time. */
class RoutingSimulation {
  static final ColdStart UPSTREAM_COLD_START = new ColdStart(10, 60, 2_000);
  static final int ROUTERS = 4;
  static final int TICK_MILLIS = 10;
  static final int GOSSIP_MILLIS = 200;
  static final ContractId MILL = ContractId.of("mill");

  /** A router process and its requests in flight. */
  final class RouterProcess {
    final MemberId id;
    final long clockOffset = random.nextInt(100_000);
    final Map<RequestId, RoutingEvent.RequestArrived> requests = new HashMap<>();
    final Map<RequestId, Long> delivered = new HashMap<>();
    final Map<String, Boolean> open = new HashMap<>();
    Incarnation incarnation;
    RoutingReducer reducer;
    boolean alive = true;
    boolean stopping;
    long frozenUntil;

    RouterProcess(String name) {
      id = MemberId.of(name);
      start();
    }

    void start() {
      alive = true;
      stopping = false;
      incarnation = Incarnation.of(random.nextLong());
      reducer =
          RoutingReducer.faulty(
              new RoutingSettings(id, incarnation, TestDeclarations.QUIMPER, random.nextLong()),
              faults);
      requests.clear();
      open.clear();
      learnEvidence();
    }

    /** Loads the crash evidence of live peers, as a router does before it becomes ready. */
    private void learnEvidence() {
      routers.stream()
          .filter(peer -> peer != this && peer.alive)
          .map(peer -> peer.reducer.evidence(peer.clock()))
          .forEach(known -> feed(now -> new RoutingEvent.EvidenceReceived(now, known)));
    }

    long clock() {
      return time.nowMillis() + clockOffset;
    }

    void feed(Function<Long, RoutingEvent> event) {
      Incarnation targetIncarnation = incarnation;
      if (alive && time.nowMillis() < frozenUntil) {
        time.after(frozenUntil - time.nowMillis(), () -> feedTo(targetIncarnation, event));
      } else {
        feedTo(targetIncarnation, event);
      }
    }

    private void feedTo(Incarnation targetIncarnation, Function<Long, RoutingEvent> event) {
      if (alive && targetIncarnation.equals(incarnation)) {
        reducer.reduce(event.apply(clock())).forEach(effect -> perform(this, effect));
      }
    }
  }

  final VirtualTime time = new VirtualTime();
  final ExecutionHistory history = new ExecutionHistory();
  final Random random;
  final FakeNetwork network;
  final RoutingFaults faults;
  final TestDeclarations declarations;
  final List<RouterProcess> routers = new ArrayList<>();
  final List<FakeVoter> voters = new ArrayList<>();
  final Map<UpstreamId, FakeUpstream> upstreams = new HashMap<>();
  final Set<Long> crashingFingerprints = new HashSet<>();
  ClaimTerm term = new ClaimTerm(0, List.of());
  int nextRequest;
  int nextVoter;

  RoutingSimulation(long seed, RoutingFaults faults, ColdStart declaredColdStart) {
    this.random = new Random(seed);
    this.network = new FakeNetwork(time, random);
    this.faults = faults;
    this.declarations = new TestDeclarations(declaredColdStart);
    declarations.upstreams.forEach(
        u ->
            upstreams.put(
                u.id(), new FakeUpstream(u, time, history, random, crashingFingerprints)));
    IntStream.range(0, ROUTERS).forEach(i -> routers.add(new RouterProcess("router-" + i)));
    IntStream.range(0, 3).forEach(i -> voters.add(newVoter()));
    configure();
    membersChanged();
    newTerm(voters);
    tick();
  }

  void advance(long millis) {
    time.advance(millis);
  }

  long unanswered() {
    return routers.stream().filter(r -> r.alive).mapToLong(r -> r.requests.size()).sum();
  }

  void perform(RouterProcess router, RoutingEffect effect) {
    if (effect instanceof RoutingEffect.CallUpstream call) {
      callUpstream(router, call);
    } else if (effect instanceof RoutingEffect.EndRequest ended) {
      endRequest(router, ended);
    } else if (effect instanceof RoutingEffect.SendDispatchMessage send) {
      Incarnation from = router.incarnation;
      deliver(
          router.id,
          send.to(),
          () ->
              router(send.to())
                  .feed(
                      now ->
                          new RoutingEvent.DispatchReceived(now, router.id, from, send.message())));
    } else if (effect instanceof RoutingEffect.SendClaimMessage send) {
      Incarnation from = router.incarnation;
      deliver(router.id, send.to(), () -> toVoter(send.to(), router.id, from, send.message()));
    } else if (effect instanceof RoutingEffect.BroadcastEvidence share) {
      routers.forEach(
          r ->
              deliver(
                  router.id,
                  r.id,
                  () ->
                      r.feed(
                          now ->
                              new RoutingEvent.EvidenceReceived(now, List.of(share.evidence())))));
    } else if (effect instanceof RoutingEffect.RefreshOwnership) {
      time.after(20, () -> publishRow(router));
    } else if (effect instanceof RoutingEffect.Stopped) {
      stopped(router);
    }
  }

  void stopped(RouterProcess router) {
    router.open.keySet().forEach(id -> history.cutByStop.add("cut by stop: " + id));
    router.alive = false;
    membersChanged();
    time.after(
        200,
        () -> {
          router.start();
          configure(router, declarations.configuration());
          membersChanged();
          publishRow(router);
        });
  }

  void endRequest(RouterProcess router, RoutingEffect.EndRequest ended) {
    history.recordResult(
        ended, router.delivered.getOrDefault(ended.requestId(), 0L), time.nowMillis());
    router.requests.remove(ended.requestId());
    boolean early = router.open.remove(ended.requestId().value()) != null;
    if (early && ended.problem() == ProblemKind.STOPPING) {
      history.cutByStop.add("cut by stop: " + ended);
    }
  }

  void callUpstream(RouterProcess router, RoutingEffect.CallUpstream call) {
    RoutingEvent.RequestArrived request = router.requests.get(call.requestId());
    FakeUpstream upstream = upstreams.get(call.upstream());
    boolean[] ended = {false};
    time.after(1, () -> upstream.call(call, request, reply -> replied(router, call, reply, ended)));
    time.after(
        Math.max(1, call.deadlineMillis() - router.clock()),
        () ->
            replied(
                router,
                call,
                new FakeUpstream.Reply(0, false, new AttemptOutcome.DeadlinePassed()),
                ended));
  }

  void replied(
      RouterProcess router,
      RoutingEffect.CallUpstream call,
      FakeUpstream.Reply reply,
      boolean[] ended) {
    if (ended[0]) {
      return;
    }
    ended[0] = true;
    RequestId id = call.requestId();
    if (reply.outcome() instanceof AttemptOutcome.ConnectionLost) {
      recordCrashIfReported(router, call);
    }
    if (reply.started()) {
      router.feed(
          now ->
              new RoutingEvent.ResponseStarted(now, id, call.attempt(), reply.incarnation(), "v1"));
      long got = router.delivered.getOrDefault(id, 0L);
      if (call.resumeOffset() <= got) {
        boolean whole = reply.outcome() instanceof AttemptOutcome.Completed;
        long until =
            reply.outcome() instanceof AttemptOutcome.TruncatedResponse truncated
                ? truncated.bytesReceived()
                : whole ? ExecutionHistory.RESPONSE_BYTES : got;
        router.delivered.put(id, until);
      }
    }
    router.feed(
        now ->
            new RoutingEvent.AttemptFinished(
                now, id, call.attempt(), reply.incarnation(), reply.outcome()));
  }

  /** Records a crash if its router stays live, awake and connected long enough to report it. */
  void recordCrashIfReported(RouterProcess router, RoutingEffect.CallUpstream call) {
    RoutingEvent.RequestArrived request = router.requests.get(call.requestId());
    if (request == null || !crashingFingerprints.contains(request.fingerprint())) {
      return;
    }
    Incarnation incarnationAtCrash = router.incarnation;
    time.after(
        GOSSIP_MILLIS,
        () -> {
          boolean reported = router.alive && incarnationAtCrash.equals(router.incarnation);
          if (reported && time.nowMillis() >= router.frozenUntil && !network.isCut(router.id)) {
            history.recordKnownCrash(request.fingerprint(), call.upstream(), time.nowMillis());
          }
        });
  }

  void claim(FakeVoter from, ClaimEffect.Send send) {
    for (RouterProcess router : routers) {
      if (router.id.equals(send.to())) {
        router.feed(
            now ->
                new RoutingEvent.ClaimReceived(
                    now, from.voter.member(), from.voter.incarnation(), send.message()));
        return;
      }
    }
    toVoter(send.to(), from.voter.member(), from.voter.incarnation(), send.message());
  }

  void toVoter(MemberId to, MemberId from, Incarnation inc, ClaimMessage message) {
    voters.stream()
        .filter(v -> v.voter.member().equals(to))
        .findFirst()
        .ifPresent(v -> v.feed(new ClaimEvent.Received(time.nowMillis(), from, inc, message)));
  }

  void deliver(MemberId from, MemberId to, Runnable arrival) {
    network.deliver(from, to, arrival);
  }

  FakeVoter newVoter() {
    return new FakeVoter(
        nextVoter++,
        random.nextLong(),
        (voter, send) -> deliver(voter.voter.member(), send.to(), () -> claim(voter, send)));
  }

  void newTerm(List<FakeVoter> members) {
    List<ClaimTerm> predecessors = term.number() == 0 ? List.of() : List.of(term);
    term = new ClaimTerm(term.number() + 1, members.stream().map(v -> v.voter).toList());
    ClaimTerm learned = term;
    for (ServiceId service : TestDeclarations.SERVICES) {
      CellId cell = CellId.of(service, 0);
      members.forEach(
          v ->
              time.after(
                  1 + random.nextInt(50),
                  () ->
                      v.feed(
                          new ClaimEvent.RowLearned(
                              time.nowMillis(), cell, learned, predecessors))));
    }
    routers.forEach(r -> time.after(random.nextInt(100), () -> publishRow(r)));
  }

  void publishRow(RouterProcess router) {
    declarations
        .rows(term)
        .forEach(row -> router.feed(now -> new RoutingEvent.OwnershipRowReceived(now, row)));
  }

  void configure() {
    Configuration next = declarations.nextConfiguration();
    routers.forEach(r -> time.after(random.nextInt(500), () -> configure(r, next)));
  }

  void configure(RouterProcess router, Configuration configuration) {
    router.feed(now -> new RoutingEvent.ConfigurationChanged(now, configuration));
  }

  void membersChanged() {
    List<Peer> live =
        routers.stream()
            .filter(r -> r.alive)
            .map(r -> new Peer(r.id, r.incarnation, TestDeclarations.QUIMPER))
            .toList();
    routers.forEach(
        r ->
            time.after(
                random.nextInt(100),
                () -> r.feed(now -> new RoutingEvent.MembersChanged(now, live))));
  }

  void tick() {
    routers.stream()
        .filter(r -> time.nowMillis() >= r.frozenUntil)
        .forEach(r -> r.feed(RoutingEvent.Tick::new));
    voters.forEach(v -> v.feed(new ClaimEvent.Tick(time.nowMillis())));
    time.after(TICK_MILLIS, this::tick);
    if (time.nowMillis() % GOSSIP_MILLIS == 0) {
      routers.stream().filter(r -> r.alive).forEach(this::gossip);
    }
  }

  /** Sends the crash evidence of a router to a random peer. */
  void gossip(RouterProcess router) {
    List<Evidence> evidence = router.reducer.evidence(router.clock());
    RouterProcess peer = routers.get(random.nextInt(ROUTERS));
    deliver(
        router.id,
        peer.id,
        () -> peer.feed(now -> new RoutingEvent.EvidenceReceived(now, evidence)));
  }

  RouterProcess router(MemberId id) {
    return routers.stream().filter(r -> r.id.equals(id)).findFirst().orElseThrow();
  }

  FakeUpstream anyUpstream() {
    return upstreams.get(anyUpstreamId());
  }

  UpstreamId anyUpstreamId() {
    return declarations.upstreams.get(random.nextInt(declarations.upstreams.size())).id();
  }
}
