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
import dev.hornbeamwheel.core.host.request.CheckResult;
import dev.hornbeamwheel.core.host.request.ErrorResponse;
import dev.hornbeamwheel.core.host.request.RequestEffect;
import dev.hornbeamwheel.core.host.request.RequestHead;
import dev.hornbeamwheel.core.host.request.RequestRef;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests that all hosts refuse a request which ended upstreams at some of them. */
final class CrashEvidenceOverLinksTest {
  private static final int HOSTS = 8;
  private static final int UPSTREAMS = 20;
  private static final long CONNECT_LIMIT_MILLIS = 5_000;
  private static final long SPREAD_MILLIS = 200;
  private static final long CRASHING = 7;
  private static final long INNOCENT = 8;
  private static final ServiceId DESK = ServiceId.of("order-desk");
  private static final DataCentreId VANNES = DataCentreId.of("vannes");

  private final HostSimulation simulation = new HostSimulation(5);
  private long nextRequest = 1;

  private void start() {
    Route route =
        new Route(
            "order",
            "shop.example",
            "/",
            RequestKind.NON_IDEMPOTENT,
            2,
            3_000,
            500,
            0,
            List.of(new WeightedService(DESK, 1)));
    simulation.declare(
        FleetConfiguration.of(
            1,
            List.of(route),
            List.of(new ServiceSpec(DESK, false, "/health", 10, 0)),
            new CallerLimits(1, 1, 1, 1)),
        IntStream.range(0, UPSTREAMS).mapToObj(i -> upstream("i-" + i, i)).toList());
    IntStream.range(0, HOSTS).forEach(i -> simulation.startHost(1_000));
    awaitConnections();
  }

  private void awaitConnections() {
    assertThat(simulation.runUntilConnected(CONNECT_LIMIT_MILLIS)).isLessThan(CONNECT_LIMIT_MILLIS);
    simulation.run(500);
  }

  private static UpstreamRegistration upstream(String id, int index) {
    return new UpstreamRegistration(
        new UpstreamIncarnation(UpstreamId.of(id), 5),
        DESK,
        new Address("10.0.1." + index, 80),
        VANNES,
        2,
        false,
        0);
  }

  /** Sends a request to a host; returns the attempt, or empty if the request is refused. */
  private Optional<RequestEffect.Send> arrive(HostSimulation.Host host, long fingerprint) {
    RequestRef ref = new RequestRef(nextRequest++);
    host.requestArrives(
        ref,
        new RequestHead(
            "id-" + ref, "shop.example", "/p", OptionalInt.empty(), 2_000, fingerprint));
    simulation.run(100);
    return host.requestEffects.stream()
        .filter(RequestEffect.Send.class::isInstance)
        .map(RequestEffect.Send.class::cast)
        .filter(send -> send.request().equals(ref))
        .findFirst();
  }

  private UpstreamId end(HostSimulation.Host host, long fingerprint, AttemptResult result) {
    RequestEffect.Send send = arrive(host, fingerprint).orElseThrow();
    host.attemptEnds(send.request(), result);
    simulation.run(SPREAD_MILLIS);
    return send.upstream().id();
  }

  private void loseConnection(HostSimulation.Host host, long fingerprint) {
    var unused = end(host, fingerprint, AttemptResult.withoutResponse(Completion.BROKEN));
  }

  private void crash(HostSimulation.Host host) {
    simulation.removeUpstream(
        end(host, CRASHING, AttemptResult.withoutResponse(Completion.BROKEN)));
  }

  private void assertRefusedAt(HostSimulation.Host host) {
    assertThat(arrive(host, CRASHING)).isEmpty();
    assertThat(host.requestEffects)
        .last()
        .isInstanceOfSatisfying(
            RequestEffect.RespondWithError.class,
            response -> {
              assertThat(response.error()).isEqualTo(ErrorResponse.QUARANTINED);
              assertThat(response.retryAfterMillis()).isZero();
            });
  }

  // Guards against a request that is sent on by each host which has not seen it end an upstream.
  @Test
  void twoCrashesAtDifferentHostsAreKnownToAll() {
    start();
    List<HostSimulation.Host> others = simulation.otherHosts();

    crash(others.get(0));
    crash(simulation.coordinatingHost());

    others.forEach(this::assertRefusedAt);
    assertRefusedAt(simulation.coordinatingHost());
    assertThat(arrive(others.get(2), INNOCENT)).isPresent();
  }

  // Guards against evidence that ends with the coordinator, or does not reach a new host.
  @Test
  void evidenceOutlastsTheCoordinatorAndReachesNewHosts() {
    start();
    List<HostSimulation.Host> others = simulation.otherHosts();
    crash(others.get(0));
    simulation.crash(simulation.coordinatingHost());
    awaitConnections();
    crash(simulation.otherHosts().get(1));
    simulation.crash(simulation.coordinatingHost());
    HostSimulation.Host started = simulation.startHost(1_000);
    awaitConnections();

    assertRefusedAt(started);
    simulation.otherHosts().forEach(this::assertRefusedAt);
  }

  // Guards against innocent requests that are refused as their answers are cut off by the dozen.
  @Test
  void lostConnectionsToUpstreamsThatLiveAreNoEvidence() {
    start();
    simulation.checks = upstream -> CheckResult.ACCEPTED;
    for (int i = 0; i < 40; i++) {
      loseConnection(simulation.otherHosts().get(i % (HOSTS - 1)), CRASHING);
    }
    simulation.otherHosts().forEach(host -> assertThat(arrive(host, CRASHING)).isPresent());
  }

  // Guards against innocent requests that are refused after crashes which others caused.
  @Test
  void aCompletedRunVoidsTheCrashAtAllHosts() {
    start();
    crash(simulation.otherHosts().get(0));
    var unused =
        end(simulation.otherHosts().get(1), CRASHING, AttemptResult.of(Completion.SERVED, 200));
    crash(simulation.otherHosts().get(2));

    simulation.otherHosts().forEach(host -> assertThat(arrive(host, CRASHING)).isPresent());
  }

  @Test
  void anOperatorLiftsTheQuarantineAtAllHosts() {
    start();
    crash(simulation.otherHosts().get(0));
    crash(simulation.otherHosts().get(1));
    simulation.otherHosts().get(2).quarantineLifted(CRASHING);
    simulation.run(SPREAD_MILLIS);

    simulation.otherHosts().forEach(host -> assertThat(arrive(host, CRASHING)).isPresent());
  }

  // Guards against requests that are refused for the crashes of a request which ran beside them.
  @Test
  void suspectsNeverRunTogether() {
    start();
    HostSimulation.Host host = simulation.otherHosts().get(0);
    loseConnection(host, CRASHING);
    loseConnection(host, INNOCENT);

    List<UpstreamId> upstreams =
        IntStream.range(0, UPSTREAMS)
            .mapToObj(i -> arrive(host, i % 2 == 0 ? CRASHING : INNOCENT).orElseThrow())
            .map(send -> send.upstream().id())
            .toList();

    assertThat(upstreams).doesNotHaveDuplicates();
  }
}
