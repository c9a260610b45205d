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
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.recovery.Quarantine;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests with a key whose owner is cold, at many hosts that have no coordinator. */
final class ColdOwnerTest {
  private static final ServiceId LEDGER = ServiceId.of("stock-ledger");
  private static final DataCentreId VANNES = DataCentreId.of("vannes");
  private static final UpstreamId OWNER = UpstreamId.of("i-196c380b1d");
  private static final double COLD_PER_SECOND = 2.6;

  /** Greatest number of requests to a cold upstream in one second, by the users' rule. */
  private static final double MAX_PER_SECOND = COLD_PER_SECOND * 1.5 + 5;

  private static final int REQUESTS = 100;
  private static final int REQUEST_INTERVAL_MILLIS = 10;
  private static final int SLOTS = 2;

  private final Catalog catalog = Catalog.empty();

  private RequestFlow flow(long seed) {
    RequestFlow flow = RequestFlow.create(catalog, Quarantine.empty(), VANNES, seed);
    flow.owners(LEDGER).replaceAll(Map.of(0, OWNER));
    return flow;
  }

  /** Guards against a cold owner of keys that each host without a coordinator sends requests to. */
  @ParameterizedTest
  @ValueSource(ints = {20, 95, 144})
  void aColdOwnerOfKeysStaysWithinItsBound(int hosts) {
    Route route =
        new Route(
            "lookup",
            "shop.example",
            "/",
            RequestKind.IDEMPOTENT,
            2,
            4_000,
            1_000,
            0,
            List.of(new WeightedService(LEDGER, 1)));
    catalog.configure(
        FleetConfiguration.of(
            1,
            List.of(route),
            List.of(new ServiceSpec(LEDGER, true, "/health", 900, COLD_PER_SECOND)),
            new CallerLimits(1, 1, 1, 1)));
    UpstreamIncarnation owner = new UpstreamIncarnation(OWNER, 1);
    catalog.replaceUpstreams(
        0,
        List.of(
            new UpstreamRegistration(
                owner, LEDGER, new Address("10.0.0.1", 80), VANNES, SLOTS, false, 60_000)));
    List<RequestFlow> flows = IntStream.range(0, hosts).mapToObj(this::flow).toList();

    long sends =
        IntStream.range(0, REQUESTS)
            .filter(number -> sends(flows.get(number % hosts), number))
            .count();

    assertThat((double) sends).isLessThanOrEqualTo(MAX_PER_SECOND);
  }

  private static boolean sends(RequestFlow flow, int number) {
    RequestHead head =
        new RequestHead("id-" + number, "shop.example", "/", OptionalInt.of(7), 4_000, number);
    return flow
        .requestArrived((long) number * REQUEST_INTERVAL_MILLIS, new RequestRef(number), head)
        .stream()
        .anyMatch(RequestEffect.Send.class::isInstance);
  }
}
