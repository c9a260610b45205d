package dev.hornbeamwheel.core.host.node;

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
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Many hosts under steady load in front of upstreams that turn cold, in virtual time, and the count
 * of what each upstream gets while it is cold.
 */
final class ColdFleet {
  /** Requests per second that a cold upstream can serve, as the smallest users' site declares. */
  static final double COLD_PER_SECOND = 2.6;

  /** Greatest number of requests to a cold upstream in one second, by the users' rule. */
  static final double MAX_PER_SECOND = COLD_PER_SECOND * 1.5 + 5;

  /** Time for which an upstream that turns cold stays so, in milliseconds. */
  static final long COLD_MILLIS = 3_000;

  private static final int MILLIS_PER_SECOND = 1_000;
  private static final long CONNECT_LIMIT_MILLIS = 10_000;
  private static final long RUN_MILLIS = 290;
  private static final long TIMEOUT_MILLIS = 4_000;
  private static final int SLOTS = 2;
  private static final int CAPACITY = 1_000;
  private static final ServiceId DESK = ServiceId.of("order-desk");
  private static final List<DataCentreId> DATA_CENTRES =
      List.of(DataCentreId.of("quimper"), DataCentreId.of("morlaix"), DataCentreId.of("vannes"));

  private record Run(HostSimulation.Host host, RequestRef ref, long endMillis) {}

  final HostSimulation simulation;
  final Random random;
  private final int requestsPerSecond;
  private final List<UpstreamRegistration> upstreams;
  private final Map<UpstreamId, Long> coldUntilMillis = new HashMap<>();
  private final Map<UpstreamId, List<Long>> coldSendMillis = new HashMap<>();
  private final List<Run> runs = new ArrayList<>();

  /** Number of requests that were sent to any upstream. */
  int sends;

  /** Requests whose callers do not return any more. */
  private final Set<RequestRef> retried = new HashSet<>();

  /** Times at which refused callers return. */
  private final PriorityQueue<Long> returnMillis = new PriorityQueue<>();

  private long nextNumber = 1;
  private double requestsDue;

  /**
   * Creates a fleet of connected hosts.
   *
   * @param hostCount number of hosts
   * @param upstreamCount number of upstreams, all of one service and warm
   * @param requestsPerSecond rate of requests over all hosts
   */
  ColdFleet(long seed, int hostCount, int upstreamCount, int requestsPerSecond) {
    this.random = new Random(seed);
    this.simulation = new HostSimulation(seed);
    this.requestsPerSecond = requestsPerSecond;
    this.upstreams =
        new ArrayList<>(
            IntStream.range(0, upstreamCount)
                .mapToObj(number -> upstream("i-" + Long.toHexString(random.nextLong()), number, 0))
                .toList());
    Route route =
        new Route(
            "order",
            "shop.example",
            "/",
            RequestKind.NON_IDEMPOTENT,
            2,
            TIMEOUT_MILLIS,
            MILLIS_PER_SECOND,
            0,
            List.of(new WeightedService(DESK, 1)));
    simulation.declare(
        FleetConfiguration.of(
            1,
            List.of(route),
            List.of(new ServiceSpec(DESK, false, "/health", 900, COLD_PER_SECOND)),
            new CallerLimits(1, 1, 1, 1)),
        upstreams);
    simulation.onRequestEffect = this::effectOccurred;
    IntStream.range(0, hostCount)
        .forEach(number -> simulation.startHost(CAPACITY, dataCentre(number)));
    simulation.runUntilConnected(CONNECT_LIMIT_MILLIS);
  }

  private static DataCentreId dataCentre(int number) {
    return DATA_CENTRES.get(number % DATA_CENTRES.size());
  }

  private static UpstreamRegistration upstream(String id, int number, long coldUntilMillis) {
    return new UpstreamRegistration(
        new UpstreamIncarnation(UpstreamId.of(id), 1),
        DESK,
        new Address("10.1.0." + number, 80),
        dataCentre(number),
        SLOTS,
        false,
        coldUntilMillis);
  }

  /** Turns a share of the upstreams cold; all hosts learn of it at once. */
  void turnCold(double share) {
    long until = simulation.nowMillis() + COLD_MILLIS;
    for (int number = 0; number < upstreams.size(); number++) {
      if (random.nextDouble() < share) {
        UpstreamRegistration cold = upstream(upstreams.get(number).id().value(), number, until);
        upstreams.set(number, cold);
        coldUntilMillis.put(cold.id(), until);
        simulation.changeUpstream(cold);
      }
    }
  }

  /** Lets time pass, with requests that arrive at random hosts; refused callers return once. */
  void run(long millis) {
    for (long end = simulation.nowMillis() + millis; simulation.nowMillis() < end; ) {
      endRuns();
      requestsDue += requestsPerSecond * HostSimulation.STEP_MILLIS / (double) MILLIS_PER_SECOND;
      for (; requestsDue >= 1; requestsDue--) {
        requestArrives(true);
      }
      while (!returnMillis.isEmpty() && returnMillis.peek() <= simulation.nowMillis()) {
        returnMillis.remove();
        requestArrives(false);
      }
      simulation.run(HostSimulation.STEP_MILLIS);
    }
  }

  private void endRuns() {
    List<Run> ended =
        runs.stream().filter(run -> run.endMillis() <= simulation.nowMillis()).toList();
    runs.removeAll(ended);
    ended.forEach(
        run -> run.host().attemptEnds(run.ref(), AttemptResult.withoutResponse(Completion.SERVED)));
  }

  private void requestArrives(boolean mayReturn) {
    List<HostSimulation.Host> hosts = simulation.runningHosts();
    long number = nextNumber++;
    RequestRef ref = new RequestRef(number);
    if (!mayReturn) {
      retried.add(ref);
    }
    hosts
        .get(random.nextInt(hosts.size()))
        .requestArrives(
            ref,
            new RequestHead(
                "id-" + number,
                "shop.example",
                "/" + number,
                OptionalInt.empty(),
                TIMEOUT_MILLIS,
                number));
  }

  private void effectOccurred(HostSimulation.Host host, RequestEffect effect) {
    if (effect instanceof RequestEffect.RespondWithError error
        && error.retryAfterMillis() > 0
        && retried.add(error.request())) {
      returnMillis.add(simulation.nowMillis() + error.retryAfterMillis());
    }
    if (effect instanceof RequestEffect.Send send) {
      long now = simulation.nowMillis();
      sends++;
      runs.add(new Run(host, send.request(), now + RUN_MILLIS));
      if (now < coldUntilMillis.getOrDefault(send.upstream().id(), 0L)) {
        coldSendMillis.computeIfAbsent(send.upstream().id(), id -> new ArrayList<>()).add(now);
      }
    }
  }

  /** Returns the greatest number of requests that any upstream got while cold in one second. */
  int mostInOneSecond() {
    return coldSendMillis.values().stream().mapToInt(ColdFleet::mostInOneSecond).max().orElse(0);
  }

  private static int mostInOneSecond(List<Long> sendMillis) {
    return sendMillis.stream()
        .mapToInt(
            start ->
                (int)
                    sendMillis.stream()
                        .filter(sent -> sent >= start && sent < start + MILLIS_PER_SECOND)
                        .count())
        .max()
        .orElse(0);
  }

  /** Returns the number of requests that upstreams got while cold in a span of time. */
  long coldSends(long fromMillis, long toMillis) {
    return coldSendMillis.values().stream()
        .flatMap(List::stream)
        .filter(sent -> sent >= fromMillis && sent < toMillis)
        .count();
  }

  /** Returns some of the running hosts, chosen at random. */
  List<HostSimulation.Host> someHosts(double share) {
    return simulation.runningHosts().stream()
        .filter(host -> random.nextDouble() < share)
        .collect(Collectors.toList());
  }
}
