package dev.hornbeamwheel.core.host.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.CallerLimits;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.catalog.RequestKind;
import dev.hornbeamwheel.core.host.catalog.Route;
import dev.hornbeamwheel.core.host.catalog.ServiceSpec;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.catalog.WeightedService;
import dev.hornbeamwheel.core.host.request.AttemptResult;
import dev.hornbeamwheel.core.host.request.RequestEffect;
import dev.hornbeamwheel.core.host.request.RequestHead;
import dev.hornbeamwheel.core.host.request.RequestRef;
import dev.hornbeamwheel.core.host.request.ShutdownSchedule;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Hosts that serve a keyed and a pooled service, some of which stop, in virtual time. */
final class StoppingFleet {
  /** Time from the stop signal until hosts drain the connections of callers, in milliseconds. */
  static final long DRAIN_MILLIS = 2_600;

  /** Time from the stop signal until the process ends, in milliseconds. */
  static final long EXIT_MILLIS = 5_400;

  /** How long a host runs after its last tick of a stop, in milliseconds. */
  private static final long LAST_TICK_MILLIS = HostSimulation.STEP_MILLIS;

  private static final ServiceId LEDGER = ServiceId.of("stock-ledger");
  private static final ServiceId DESK = ServiceId.of("order-desk");
  private static final DataCentreId VANNES = DataCentreId.of("vannes");
  private static final int KEYS = 65_536;
  private static final int LEDGER_UPSTREAMS = 6;
  private static final int DESK_UPSTREAMS = 3;
  private static final int SLOTS = 2;
  private static final long ROUTE_TIMEOUT_MILLIS = 10_000;
  private static final long CONNECT_LIMIT_MILLIS = 5_000;
  private static final long FIRST_GRANTS_MILLIS = 6_000;
  private static final long RUN_MILLIS = 40;

  private record Attempt(
      HostSimulation.Host host, RequestRef request, UpstreamId upstream, long endMillis) {}

  /** A request that arrived at a host. */
  record Arrival(HostSimulation.Host host, RequestRef request, long atMillis) {}

  final HostSimulation simulation;
  final List<Arrival> arrivals = new ArrayList<>();

  /** Requests that arrived at a host which ended before it answered them. */
  final List<Arrival> unanswered = new ArrayList<>();

  /** The requests that were sent to an upstream. */
  final Set<RequestRef> sent = new HashSet<>();

  /** Time for which upstreams run a request, in milliseconds. */
  long runMillis = RUN_MILLIS;

  /** Share of the attempts that upstreams turn away. */
  double turnedAway;

  private final Random random;
  private final Set<RequestRef> answered = new HashSet<>();
  private final Map<HostSimulation.Host, Long> exits = new HashMap<>();
  private final Map<HostSimulation.Host, Integer> handledEffects = new HashMap<>();
  private final List<Attempt> attempts = new ArrayList<>();
  private long nextNumber = 1;

  StoppingFleet(int hosts, long seed) {
    this.random = new Random(seed);
    this.simulation = new HostSimulation(seed);
    simulation.serveKeys();
    simulation.declare(
        FleetConfiguration.of(
            1,
            List.of(
                route("lookup", RequestKind.IDEMPOTENT, LEDGER),
                route("entry", RequestKind.NON_IDEMPOTENT, LEDGER),
                route("order", RequestKind.NON_IDEMPOTENT, DESK)),
            List.of(
                new ServiceSpec(LEDGER, true, "/health", 100, 0),
                new ServiceSpec(DESK, false, "/health", 100, 0)),
            new CallerLimits(1, 1, 1, 1)),
        Stream.concat(
                IntStream.range(0, LEDGER_UPSTREAMS).mapToObj(i -> upstream(LEDGER, i)),
                IntStream.range(0, DESK_UPSTREAMS).mapToObj(i -> upstream(DESK, 100 + i)))
            .toList());
    IntStream.range(0, hosts).forEach(i -> simulation.startHost(1_000));
    assertThat(simulation.runUntilConnected(CONNECT_LIMIT_MILLIS)).isLessThan(CONNECT_LIMIT_MILLIS);
    simulation.run(FIRST_GRANTS_MILLIS);
  }

  private static Route route(String name, RequestKind kind, ServiceId service) {
    return new Route(
        name,
        "shop.example",
        "/" + name + "/",
        kind,
        2,
        ROUTE_TIMEOUT_MILLIS,
        500,
        0,
        List.of(new WeightedService(service, 1)));
  }

  private static UpstreamRegistration upstream(ServiceId service, int index) {
    return new UpstreamRegistration(
        new UpstreamIncarnation(UpstreamId.of("i-" + index), 1),
        service,
        new Address("10.0.1." + index, 80),
        VANNES,
        SLOTS,
        false,
        0);
  }

  /** Sends the stop signal to a host, whose process ends when its grace period does. */
  void stop(HostSimulation.Host host) {
    long now = simulation.nowMillis();
    exits.put(host, now + EXIT_MILLIS + LAST_TICK_MILLIS);
    host.stops(ShutdownSchedule.of(now + DRAIN_MILLIS, now + EXIT_MILLIS));
  }

  boolean stopping(HostSimulation.Host host) {
    return exits.containsKey(host);
  }

  /** A request for a random key arrives, with a deadline in milliseconds from now. */
  void arriveWithKey(HostSimulation.Host host, String route, long deadlineMillis) {
    arrive(host, route, OptionalInt.of(random.nextInt(KEYS)), deadlineMillis);
  }

  /** A request without a key arrives, with a deadline in milliseconds from now. */
  void arriveWithoutKey(HostSimulation.Host host, long deadlineMillis) {
    arrive(host, "order", OptionalInt.empty(), deadlineMillis);
  }

  private void arrive(
      HostSimulation.Host host, String route, OptionalInt key, long deadlineMillis) {
    long number = nextNumber++;
    RequestRef ref = new RequestRef(number);
    arrivals.add(new Arrival(host, ref, simulation.nowMillis()));
    host.requestArrives(
        ref,
        new RequestHead(
            "id-" + number, "shop.example", "/" + route + "/1", key, (int) deadlineMillis, number));
  }

  /** Runs for one tick of the hosts. */
  void step() {
    simulation.run(HostSimulation.STEP_MILLIS);
    simulation.runningHosts().forEach(this::handleEffects);
    endAttempts();
    simulation.runningHosts().stream()
        .filter(host -> simulation.nowMillis() >= exits.getOrDefault(host, Long.MAX_VALUE))
        .forEach(this::exit);
  }

  /** Runs for a time in milliseconds. */
  void runFor(long millis) {
    for (long until = simulation.nowMillis() + millis; simulation.nowMillis() < until; ) {
      step();
    }
  }

  /** Returns the requests that are neither answered nor at an upstream. */
  List<Arrival> waiting() {
    return arrivals.stream()
        .filter(arrival -> !answered.contains(arrival.request()))
        .filter(arrival -> !sent.contains(arrival.request()))
        .toList();
  }

  private void handleEffects(HostSimulation.Host host) {
    List<RequestEffect> effects = host.requestEffects;
    for (int i = handledEffects.getOrDefault(host, 0); i < effects.size(); i++) {
      RequestEffect effect = effects.get(i);
      if (effect instanceof RequestEffect.Send send) {
        sent.add(send.request());
        long endMillis = simulation.nowMillis() + 1 + random.nextInt((int) (2 * runMillis));
        attempts.add(new Attempt(host, send.request(), send.upstream().id(), endMillis));
      } else if (effect instanceof RequestEffect.ForwardResponse response) {
        answered.add(response.request());
      } else if (effect instanceof RequestEffect.RespondWithError response) {
        answered.add(response.request());
      } else if (effect instanceof RequestEffect.Abort abort) {
        attempts.removeIf(attempt -> attempt.request().equals(abort.request()));
      }
    }
    handledEffects.put(host, effects.size());
  }

  private void endAttempts() {
    List<Attempt> ended =
        attempts.stream().filter(attempt -> simulation.nowMillis() >= attempt.endMillis()).toList();
    attempts.removeAll(ended);
    ended.forEach(
        attempt ->
            attempt
                .host()
                .attemptEnds(
                    attempt.request(),
                    random.nextDouble() < turnedAway
                        ? AttemptResult.of(Completion.MISDIRECTED, 421)
                        : AttemptResult.of(Completion.SERVED, 200)));
  }

  private void exit(HostSimulation.Host host) {
    handleEffects(host);
    arrivals.stream()
        .filter(arrival -> arrival.host() == host && !answered.contains(arrival.request()))
        .forEach(unanswered::add);
    simulation.crash(host);
  }

  /** Returns the requests that arrived at a host in a span of time. */
  List<Arrival> arrivalsAt(HostSimulation.Host host, long fromMillis, long toMillis) {
    return arrivals.stream()
        .filter(arrival -> arrival.host() == host)
        .filter(arrival -> fromMillis <= arrival.atMillis() && arrival.atMillis() < toMillis)
        .toList();
  }
}
