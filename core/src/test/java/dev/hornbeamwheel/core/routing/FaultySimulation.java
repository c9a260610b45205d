package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.model.IdempotencyKey;
import dev.hornbeamwheel.core.model.Key;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** A simulation with the requests, faults and oracle checks that the routing tests use. */
final class FaultySimulation extends RoutingSimulation {
  FaultySimulation(long seed, RoutingFaults faults, ColdStart declaredColdStart) {
    super(seed, faults, declaredColdStart);
  }

  /** Sends an idempotent pooled request with the given fingerprint. */
  RequestId lookup(long fingerprint) {
    return request(TestDeclarations.POOLED, null, true, null, fingerprint);
  }

  RequestId keyed(String key) {
    return request(TestDeclarations.KEYED, Key.of(key), true, null, random.nextLong());
  }

  RequestId order(String idempotencyKey, ServiceId service) {
    Key key = service.equals(TestDeclarations.KEYED) ? Key.of("mill-1") : null;
    return request(service, key, false, IdempotencyKey.of(idempotencyKey), 7);
  }

  void lookups(int count) {
    IntStream.range(0, count).forEach(i -> lookup(random.nextLong()));
  }

  /** Sends an order, then two duplicates with the same idempotency key. */
  void orders(int number) {
    ServiceId service = number % 2 == 0 ? TestDeclarations.POOLED : TestDeclarations.KEYED;
    order("order-" + number, service);
    time.after(random.nextInt(60), () -> order("order-" + number, service));
    time.after(random.nextInt(3_000), () -> order("order-" + number, service));
  }

  /**
   * Sends a request that crashes every upstream that runs it, six times at one-second intervals.
   */
  void sendCrashingRequests(int number) {
    long fingerprint = 1_000_000L + number;
    if (crashingFingerprints.add(fingerprint)) {
      IntStream.range(0, 6).forEach(i -> time.after(i * 1_000L, () -> lookup(fingerprint)));
    }
  }

  void injectResponseFault(int faultIndex) {
    anyUpstream().nextFault = List.of(FakeUpstream.ResponseFault.values()).get(faultIndex);
  }

  /** Makes the network drop, duplicate and delay messages. */
  void disturbNetwork(int strength) {
    network.dropShare = strength * 0.05;
    network.duplicateShare = strength * 0.05;
    network.jitterMillis = 2 + 10 * strength;
  }

  void clearNetworkFaults() {
    disturbNetwork(0);
  }

  List<String> violations() {
    List<String> found = new ArrayList<>(history.violations);
    found.addAll(history.wrongNotRunOutcomes());
    found.addAll(history.ranTwice());
    found.addAll(history.incompleteResponses());
    found.addAll(history.overloadedColdUpstreams(UPSTREAM_COLD_START, TestDeclarations.SLOTS));
    found.addAll(history.workAfterDrain(3_000));
    found.addAll(history.ranAfterTwoCrashes(1_000));
    found.addAll(history.cutByStop);
    return found;
  }

  RequestId orderWithoutKey() {
    return request(TestDeclarations.POOLED, null, false, null, random.nextLong());
  }

  private RequestId request(
      ServiceId service,
      Key key,
      boolean idempotent,
      IdempotencyKey idempotencyKey,
      long fingerprint) {
    RequestId id = RequestId.of("r" + nextRequest++);
    if (!idempotent) {
      history.nonIdempotent.add(id);
    }
    List<RouterProcess> live = routers.stream().filter(r -> r.alive).toList();
    if (live.isEmpty()) {
      return id;
    }
    RouterProcess router = live.get(random.nextInt(live.size()));
    boolean early = !router.stopping;
    router.feed(
        now -> {
          RoutingEvent.RequestArrived arrived =
              new RoutingEvent.RequestArrived(
                  now,
                  id,
                  MILL,
                  service,
                  key,
                  idempotent,
                  idempotencyKey,
                  fingerprint,
                  now + 1_500);
          router.requests.put(id, arrived);
          if (early) {
            router.open.put(id.value(), true);
          }
          return arrived;
        });
    return id;
  }

  void crashUpstream() {
    anyUpstream().crash();
  }

  void freezeUpstream(long millis) {
    anyUpstream().frozenUntilMillis = time.nowMillis() + millis;
  }

  void freezeRouter(long millis) {
    RouterProcess router = routers.get(random.nextInt(ROUTERS));
    router.frozenUntil = Math.max(router.frozenUntil, time.nowMillis() + millis);
  }

  /** Kills a router and starts a replacement; the others learn of each step with a delay. */
  void replaceRouter() {
    RouterProcess failed = routers.get(random.nextInt(ROUTERS));
    failed.alive = false;
    time.after(300, this::membersChanged);
    time.after(
        900,
        () -> {
          failed.start();
          configure(failed, declarations.configuration());
          membersChanged();
          publishRow(failed);
        });
  }

  void cutRouter(long millis) {
    network.cut(routers.get(random.nextInt(ROUTERS)).id, millis);
  }

  void cutVoter(long millis) {
    network.cut(voters.get(random.nextInt(voters.size())).voter.member(), millis);
  }

  /** Replaces a failed voter by a new one under a new term number. */
  void replaceVoter() {
    FakeVoter failed = voters.remove(random.nextInt(voters.size()));
    time.after(200, () -> failed.alive = false);
    voters.add(newVoter());
    newTerm(voters);
  }

  void drainUpstream() {
    UpstreamId upstream = anyUpstreamId();
    if (declarations.drained.size() < 3 && !declarations.drained.contains(upstream)) {
      history.drainedAt.put(upstream, time.nowMillis());
      declarations.drain(upstream);
      configure();
      routers.forEach(this::publishRow);
    }
  }

  /** Moves the keys to other owners and publishes the new rows. */
  void moveKeys() {
    declarations.moveKeys();
    routers.forEach(this::publishRow);
  }

  /** Starts a graceful shutdown of a router, which ends when the router reports it has stopped. */
  void stopRouter() {
    RouterProcess router = routers.get(random.nextInt(ROUTERS));
    if (router.alive && !router.stopping) {
      router.stopping = true;
      router.feed(RoutingEvent.Stopping::new);
    }
  }
}
