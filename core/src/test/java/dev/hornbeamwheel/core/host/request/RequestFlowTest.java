package dev.hornbeamwheel.core.host.request;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.CallerLimits;
import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.catalog.RequestKind;
import dev.hornbeamwheel.core.host.catalog.Route;
import dev.hornbeamwheel.core.host.catalog.ServiceSpec;
import dev.hornbeamwheel.core.host.catalog.UpstreamEntry;
import dev.hornbeamwheel.core.host.catalog.UpstreamLife;
import dev.hornbeamwheel.core.host.catalog.WeightedService;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** One final answer for each request, and a true one. */
final class RequestFlowTest {
  private static final ServiceId DESK = ServiceId.of("order-desk");
  private static final ServiceId ARCHIVE = ServiceId.of("plan-archive");
  private static final DataCentreId VANNES = DataCentreId.of("vannes");

  private final Catalog catalog = Catalog.empty();
  private final RequestFlow flow = RequestFlow.create(catalog, VANNES, 1);
  private final List<RequestEffect> effects = new ArrayList<>();

  private void configure() {
    catalog.configure(
        FleetConfiguration.of(
            1,
            List.of(
                route("order", "/order/", RequestKind.NON_IDEMPOTENT, part(DESK, 1)),
                route("lookup", "/lookup/", RequestKind.IDEMPOTENT, part(DESK, 1)),
                route("split", "/split/", RequestKind.IDEMPOTENT, part(DESK, 9), part(ARCHIVE, 1))),
            List.of(spec(DESK), spec(ARCHIVE)),
            new CallerLimits(1, 1, 1, 1)));
    catalog.replaceUpstreams(
        0, List.of(entry("i-1", DESK), entry("i-2", DESK), entry("i-3", ARCHIVE)));
  }

  private static ServiceSpec spec(ServiceId id) {
    return new ServiceSpec(id, false, "/health", 100, 0);
  }

  private static WeightedService part(ServiceId service, double weight) {
    return new WeightedService(service, weight);
  }

  private static Route route(
      String name, String prefix, RequestKind kind, WeightedService... services) {
    return new Route(name, "shop.example", prefix, kind, 2, 1_200, 600, 1, List.of(services));
  }

  private static UpstreamEntry entry(String id, ServiceId service) {
    return new UpstreamEntry(
        new UpstreamLife(UpstreamId.of(id), 1),
        service,
        new Address("10.0.0.1", 80),
        VANNES,
        50,
        false,
        0);
  }

  private RequestRef arrive(long number, String path) {
    return arrive(0, number, path);
  }

  private RequestRef arrive(long now, long number, String path) {
    RequestRef ref = new RequestRef(number);
    take(
        flow.requestArrived(
            now,
            ref,
            new RequestHead("id-" + number, "shop.example", path, OptionalInt.empty(), 2_500)));
    return ref;
  }

  private void end(long now, RequestRef ref, Completion completion) {
    take(flow.attemptEnded(now, ref, AttemptResult.withoutResponse(completion)));
  }

  private void take(List<RequestEffect> more) {
    effects.addAll(more);
  }

  private <T extends RequestEffect> List<T> all(Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }

  @Test
  void aHostWithoutAConfigurationIsNotReadyRatherThanWithoutARoute() {
    arrive(1, "/order/1");

    assertThat(all(RequestEffect.RespondWithError.class).get(0).error())
        .isEqualTo(ErrorResponse.NOT_READY);
  }

  /** Guards against requests that were cut at an upstream since they came when the host stopped. */
  @Test
  void aRequestThatMayOutlastTheStoppingHostIsRefusedAtOnce() {
    configure();
    flow.shutdownStarted(2_600, 5_400);

    RequestRef inTime = arrive(4_100, 1, "/order/1");
    RequestRef tooLate = arrive(4_300, 2, "/order/2");

    assertThat(all(RequestEffect.Send.class)).extracting("request").containsExactly(inTime);
    assertThat(all(RequestEffect.RespondWithError.class))
        .singleElement()
        .satisfies(answer -> assertThat(answer.request()).isEqualTo(tooLate))
        .satisfies(answer -> assertThat(answer.error()).isEqualTo(ErrorResponse.NOT_READY))
        .satisfies(answer -> assertThat(answer.retryAfterMillis()).isPositive());
  }

  @Property(tries = 200, seed = "2026120403")
  void anOrderRunsOnceAtMostAndIsCalledUnrunOnlyIfItIs(@ForAll List<Completion> outcomes) {
    RequestFlowTest fresh = new RequestFlowTest();
    fresh.configure();
    RequestRef ref = fresh.arrive(1, "/order/1");
    int mayHaveRun = 0;
    int ended = 0;
    for (Completion outcome : outcomes) {
      if (fresh.all(RequestEffect.Send.class).size() > ended) {
        ended++;
        boolean unrun =
            outcome == Completion.NOT_RUN
                || outcome == Completion.MISDIRECTED
                || outcome == Completion.UNREACHABLE;
        mayHaveRun += unrun ? 0 : 1;
        fresh.end(10 + ended, ref, outcome);
      }
    }

    assertThat(mayHaveRun).isLessThanOrEqualTo(1);
    boolean calledUnrun =
        fresh.all(RequestEffect.RespondWithError.class).stream()
            .anyMatch(answer -> answer.error() == ErrorResponse.NO_ROOM);
    assertThat(calledUnrun && mayHaveRun > 0).isFalse();
    assertThat(
            fresh.all(RequestEffect.RespondWithError.class).size()
                + fresh.all(RequestEffect.ForwardResponse.class).size())
        .isLessThanOrEqualTo(1);
  }

  @Test
  void anIdempotentRequestWhoseAnswerBreaksOffIsSentToAnotherUpstream() {
    configure();
    RequestRef ref = arrive(1, "/lookup/1");

    end(50, ref, Completion.BROKEN);
    end(90, ref, Completion.SERVED);

    List<RequestEffect.Send> sends = all(RequestEffect.Send.class);
    assertThat(sends).hasSize(2);
    assertThat(sends.get(0).upstream()).isNotEqualTo(sends.get(1).upstream());
    assertThat(all(RequestEffect.ForwardResponse.class)).hasSize(1);
  }

  @Test
  void theTimeLeftShrinksWithEachSend() {
    configure();
    RequestRef ref = arrive(1, "/lookup/1");

    end(300, ref, Completion.BROKEN);

    assertThat(all(RequestEffect.Send.class).get(0).remainingMillis()).isEqualTo(1_200);
    assertThat(all(RequestEffect.Send.class).get(1).remainingMillis()).isEqualTo(900);
  }

  @Test
  void aRequestIsAnsweredWhenItsTimeIsUp() {
    configure();
    arrive(1, "/lookup/1");

    take(flow.tick(1_199));
    assertThat(all(RequestEffect.RespondWithError.class)).isEmpty();
    take(flow.tick(1_200));

    assertThat(all(RequestEffect.Abort.class)).hasSize(1);
    assertThat(all(RequestEffect.RespondWithError.class).get(0).error())
        .isEqualTo(ErrorResponse.TIMED_OUT);
  }

  @Test
  void aCallerThatLeavesEndsTheWorkOfAnIdempotentRequest() {
    configure();
    RequestRef ref = arrive(1, "/lookup/1");

    take(flow.callerDisconnected(20, ref));

    assertThat(all(RequestEffect.Abort.class)).hasSize(1);
    assertThat(flow.inFlightCount()).isZero();
  }

  @Test
  void repeatedSendsStayWithinTheBudgetWhenEveryAnswerIsLost() {
    configure();
    int requests = 400;
    for (int i = 0; i < requests; i++) {
      RequestRef ref = arrive(i, "/lookup/" + i);
      end(10, ref, Completion.BROKEN);
      end(20, ref, Completion.BROKEN);
    }

    int repeated = all(RequestEffect.Send.class).size() - requests;
    assertThat(repeated).isLessThanOrEqualTo((int) (requests * 0.2) + 5);
  }

  @Test
  void aSplitRouteSharesItsRequestsByWeight() {
    configure();
    for (int i = 0; i < 200; i++) {
      end(1, arrive(i, "/split/" + i), Completion.SERVED);
    }

    long archive =
        all(RequestEffect.Send.class).stream()
            .filter(send -> send.upstream().service().equals(ARCHIVE))
            .count();
    assertThat(archive).isBetween(16L, 24L);
  }

  @Test
  void aSlotThatComesAfterTheDeadlineIsGivenBackUnused() {
    configure();
    take(flow.coordinatorConnected(0));
    arrive(1, "/lookup/1");
    long ask = all(RequestEffect.RequestSlot.class).get(0).slotRequestNumber();

    take(flow.slotGranted(1_300, ask, UpstreamId.of("i-1"), 0));

    assertThat(all(RequestEffect.Send.class)).isEmpty();
    assertThat(all(RequestEffect.ReleaseSlot.class)).hasSize(1);
    assertThat(all(RequestEffect.RespondWithError.class).get(0).error())
        .isEqualTo(ErrorResponse.NO_ROOM);
  }

  @Test
  void asksThatASilentCoordinatorDoesNotAnswerAreDecidedHere() {
    configure();
    take(flow.coordinatorConnected(0));
    arrive(1, "/order/1");
    assertThat(all(RequestEffect.RequestSlot.class)).hasSize(1);

    take(flow.tick(RequestFlow.COORDINATOR_TIMEOUT_MILLIS));

    assertThat(all(RequestEffect.CancelSlotRequest.class)).hasSize(1);
    assertThat(all(RequestEffect.Send.class)).hasSize(1);
  }
}
