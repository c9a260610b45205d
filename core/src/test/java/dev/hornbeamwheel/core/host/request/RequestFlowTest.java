package dev.hornbeamwheel.core.host.request;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.CallerLimits;
import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.catalog.RequestKind;
import dev.hornbeamwheel.core.host.catalog.Route;
import dev.hornbeamwheel.core.host.catalog.ServiceSpec;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.catalog.WeightedService;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.recovery.Quarantine;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Each request gets one final response, which reports correctly whether it may have run. */
final class RequestFlowTest {
  private static final ServiceId DESK = ServiceId.of("order-desk");
  private static final ServiceId ARCHIVE = ServiceId.of("plan-archive");
  private static final DataCentreId VANNES = DataCentreId.of("vannes");

  private final Catalog catalog = Catalog.empty();
  private final Quarantine quarantine = Quarantine.empty();
  private final RequestFlow flow = RequestFlow.create(catalog, quarantine, VANNES, 1);
  private final List<RequestEffect> effects = new ArrayList<>();

  private void configure() {
    catalog.configure(
        FleetConfiguration.of(
            1,
            List.of(
                route("order", "/order/", RequestKind.NON_IDEMPOTENT, weightedService(DESK, 1)),
                route("lookup", "/lookup/", RequestKind.IDEMPOTENT, weightedService(DESK, 1)),
                route(
                    "split",
                    "/split/",
                    RequestKind.IDEMPOTENT,
                    weightedService(DESK, 9),
                    weightedService(ARCHIVE, 1))),
            List.of(spec(DESK), spec(ARCHIVE)),
            new CallerLimits(1, 1, 1, 1)));
    catalog.replaceUpstreams(
        0, List.of(entry("i-1", DESK), entry("i-2", DESK), entry("i-3", ARCHIVE)));
  }

  private static ServiceSpec spec(ServiceId id) {
    return new ServiceSpec(id, false, "/health", 100, 0);
  }

  private static WeightedService weightedService(ServiceId service, double weight) {
    return new WeightedService(service, weight);
  }

  private static Route route(
      String name, String prefix, RequestKind kind, WeightedService... services) {
    return new Route(name, "shop.example", prefix, kind, 2, 1_200, 600, 1, List.of(services));
  }

  private static UpstreamRegistration entry(String id, ServiceId service) {
    return new UpstreamRegistration(
        new UpstreamIncarnation(UpstreamId.of(id), 1),
        service,
        new Address("10.0.0.1", 80),
        VANNES,
        50,
        false,
        0);
  }

  private RequestRef sendRequest(long number, String path) {
    return sendRequest(0, number, path);
  }

  private RequestRef sendRequest(long now, long number, String path) {
    RequestRef ref = new RequestRef(number);
    collect(
        flow.requestArrived(
            now,
            ref,
            new RequestHead(
                "id-" + number,
                "shop.example",
                path,
                OptionalInt.empty(),
                2_500,
                path.hashCode())));
    return ref;
  }

  private void endAttempt(long now, RequestRef ref, Completion completion) {
    collect(flow.attemptEnded(now, ref, AttemptResult.withoutResponse(completion)));
  }

  private void collect(List<RequestEffect> newEffects) {
    effects.addAll(newEffects);
  }

  private <T extends RequestEffect> List<T> effectsOf(Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }

  @Test
  void aHostWithoutAConfigurationRejectsRequestsAsNotReady() {
    sendRequest(1, "/order/1");

    assertThat(effectsOf(RequestEffect.RespondWithError.class).get(0).error())
        .isEqualTo(ErrorResponse.NOT_READY);
  }

  /**
   * Guards against requests that are cut off at an upstream because they arrive during shutdown.
   */
  @Test
  void aRequestThatMayOutlastTheStoppingHostIsRefusedAtOnce() {
    configure();
    flow.shutdownStarted(ShutdownSchedule.of(2_600, 5_400));

    RequestRef accepted = sendRequest(4_100, 1, "/order/1");
    RequestRef rejected = sendRequest(4_300, 2, "/order/2");

    assertThat(effectsOf(RequestEffect.Send.class)).extracting("request").containsExactly(accepted);
    assertThat(effectsOf(RequestEffect.RespondWithError.class))
        .singleElement()
        .satisfies(response -> assertThat(response.request()).isEqualTo(rejected))
        .satisfies(response -> assertThat(response.error()).isEqualTo(ErrorResponse.NOT_READY))
        .satisfies(response -> assertThat(response.retryAfterMillis()).isPositive());
  }

  @Property(tries = 200, seed = "2026120403")
  void aNonIdempotentRequestRunsAtMostOnceAndIsReportedAsNotRunOnlyIfTrue(
      @ForAll List<Completion> outcomes) {
    RequestFlowTest fresh = new RequestFlowTest();
    fresh.configure();
    RequestRef ref = fresh.sendRequest(1, "/order/1");
    int mayHaveRun = 0;
    int endedAttempts = 0;
    for (Completion outcome : outcomes) {
      if (fresh.effectsOf(RequestEffect.Send.class).size() > endedAttempts) {
        endedAttempts++;
        boolean notRun =
            outcome == Completion.NOT_RUN
                || outcome == Completion.MISDIRECTED
                || outcome == Completion.UNREACHABLE;
        mayHaveRun += notRun ? 0 : 1;
        fresh.endAttempt(10 + endedAttempts, ref, outcome);
      }
    }

    assertThat(mayHaveRun).isLessThanOrEqualTo(1);
    boolean reportedNotRun =
        fresh.effectsOf(RequestEffect.RespondWithError.class).stream()
            .anyMatch(response -> response.error() == ErrorResponse.NO_ROOM);
    assertThat(reportedNotRun && mayHaveRun > 0).isFalse();
    assertThat(
            fresh.effectsOf(RequestEffect.RespondWithError.class).size()
                + fresh.effectsOf(RequestEffect.ForwardResponse.class).size())
        .isLessThanOrEqualTo(1);
  }

  // Guards against the promise 'not run' for a request that its upstream does not call not run.
  @Property(tries = 400, seed = "2026120502", generation = GenerationMode.EXHAUSTIVE)
  void aStatusThatPromisesNotRunIsForwardedOnlyIfTheRequestMayBeRepeated(
      @ForAll @IntRange(min = 400, max = 599) int status, @ForAll boolean idempotent) {
    RequestFlowTest fresh = new RequestFlowTest();
    fresh.configure();
    RequestRef ref = fresh.sendRequest(1, idempotent ? "/lookup/1" : "/order/1");

    fresh.collect(fresh.flow.attemptEnded(10, ref, AttemptResult.of(Completion.SERVED, status)));

    boolean promise = status == 408 || status == 421 || status == 429 || status == 503;
    if (promise && !idempotent) {
      assertThat(fresh.effectsOf(RequestEffect.RespondWithError.class))
          .extracting(RequestEffect.RespondWithError::error)
          .containsExactly(ErrorResponse.UPSTREAM_FAILED);
    } else {
      assertThat(fresh.effectsOf(RequestEffect.ForwardResponse.class)).hasSize(1);
    }
  }

  @Test
  void anIdempotentRequestWithABrokenResponseIsRetriedAtAnotherUpstream() {
    configure();
    RequestRef ref = sendRequest(1, "/lookup/1");

    endAttempt(50, ref, Completion.BROKEN);
    endAttempt(90, ref, Completion.SERVED);

    List<RequestEffect.Send> sends = effectsOf(RequestEffect.Send.class);
    assertThat(sends).hasSize(2);
    assertThat(sends.get(0).upstream()).isNotEqualTo(sends.get(1).upstream());
    assertThat(effectsOf(RequestEffect.ForwardResponse.class)).hasSize(1);
  }

  @Test
  void theRemainingTimeDecreasesWithEachAttempt() {
    configure();
    RequestRef ref = sendRequest(1, "/lookup/1");

    endAttempt(300, ref, Completion.BROKEN);

    assertThat(effectsOf(RequestEffect.Send.class).get(0).remainingMillis()).isEqualTo(1_200);
    assertThat(effectsOf(RequestEffect.Send.class).get(1).remainingMillis()).isEqualTo(900);
  }

  @Test
  void aRequestTimesOutAtItsDeadline() {
    configure();
    sendRequest(1, "/lookup/1");

    collect(flow.tick(1_199));
    assertThat(effectsOf(RequestEffect.RespondWithError.class)).isEmpty();
    collect(flow.tick(1_200));

    assertThat(effectsOf(RequestEffect.Abort.class)).hasSize(1);
    assertThat(effectsOf(RequestEffect.RespondWithError.class).get(0).error())
        .isEqualTo(ErrorResponse.TIMED_OUT);
  }

  @Test
  void anIdempotentRequestIsAbortedWhenItsCallerDisconnects() {
    configure();
    RequestRef ref = sendRequest(1, "/lookup/1");

    collect(flow.callerDisconnected(20, ref));

    assertThat(effectsOf(RequestEffect.Abort.class)).hasSize(1);
    assertThat(flow.inFlightCount()).isZero();
  }

  @Test
  void retriesStayWithinTheBudgetWhenEveryResponseIsLost() {
    configure();
    int requests = 400;
    for (int i = 0; i < requests; i++) {
      RequestRef ref = sendRequest(i, "/lookup/" + i);
      endAttempt(10, ref, Completion.BROKEN);
      endAttempt(20, ref, Completion.BROKEN);
    }

    int retries = effectsOf(RequestEffect.Send.class).size() - requests;
    assertThat(retries).isLessThanOrEqualTo((int) (requests * 0.2) + 5);
  }

  @Test
  void aSplitRouteDistributesItsRequestsByWeight() {
    configure();
    for (int i = 0; i < 200; i++) {
      endAttempt(1, sendRequest(i, "/split/" + i), Completion.SERVED);
    }

    long archiveCount =
        effectsOf(RequestEffect.Send.class).stream()
            .filter(send -> send.upstream().service().equals(ARCHIVE))
            .count();
    assertThat(archiveCount).isBetween(16L, 24L);
  }

  @Test
  void aSlotGrantedAfterTheDeadlineIsReleasedUnused() {
    configure();
    collect(flow.coordinatorConnected(0));
    sendRequest(1, "/lookup/1");
    long slotRequestNumber = effectsOf(RequestEffect.RequestSlot.class).get(0).slotRequestNumber();

    collect(flow.slotGranted(1_300, slotRequestNumber, UpstreamId.of("i-1"), 0));

    assertThat(effectsOf(RequestEffect.Send.class)).isEmpty();
    assertThat(effectsOf(RequestEffect.ReleaseSlot.class)).hasSize(1);
    assertThat(effectsOf(RequestEffect.RespondWithError.class).get(0).error())
        .isEqualTo(ErrorResponse.NO_ROOM);
  }

  @Test
  void upstreamsAreSelectedLocallyWhenTheCoordinatorTimesOut() {
    configure();
    collect(flow.coordinatorConnected(0));
    sendRequest(1, "/order/1");
    assertThat(effectsOf(RequestEffect.RequestSlot.class)).hasSize(1);

    collect(flow.tick(CoordinatorContact.TIMEOUT_MILLIS));

    assertThat(effectsOf(RequestEffect.CancelSlotRequest.class)).hasSize(1);
    assertThat(effectsOf(RequestEffect.Send.class)).hasSize(1);
  }
}
