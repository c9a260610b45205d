package dev.hornbeamwheel.core.host.slots;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The total throughput of a service is correct after incremental updates. */
final class ServiceRateTest {
  private static final int UPSTREAMS = 300;

  private final List<UpstreamRegistration> upstreams =
      IntStream.range(0, UPSTREAMS).mapToObj(ServiceRateTest::upstream).toList();
  private final Map<UpstreamId, Double> rates = new HashMap<>();
  private int rateLookups;

  private static UpstreamRegistration upstream(int number) {
    return new UpstreamRegistration(
        new UpstreamIncarnation(UpstreamId.of("i-" + number), 1),
        ServiceId.of("order-desk"),
        new Address("10.0.0.1", 1_000 + number),
        DataCentreId.of("vannes"),
        2,
        false,
        0);
  }

  private double rate(UpstreamRegistration entry) {
    rateLookups++;
    return rates.getOrDefault(entry.id(), 10.0);
  }

  // Guards against an iteration over all upstreams for each request that has to wait.
  @Test
  void theTotalIsUpdatedWithoutLookupsOfTheOtherRates() {
    ServiceRate total = ServiceRate.of(upstreams, this::rate);
    Random random = new Random(7);
    for (int i = 0; i < 10_000; i++) {
      UpstreamId changed = upstreams.get(random.nextInt(UPSTREAMS)).id();
      double rate = random.nextInt(4) == 0 ? 0 : 30 * random.nextDouble();
      rates.put(changed, rate);
      total.update(changed, rate);
    }

    assertThat(rateLookups).isEqualTo(UPSTREAMS);
    assertThat(total.perSecond())
        .isCloseTo(ServiceRate.of(upstreams, this::rate).perSecond(), within(0.001));
  }

  @Test
  void anUpstreamOutsideTheTotalIsIgnored() {
    ServiceRate total = ServiceRate.of(upstreams, this::rate);

    total.update(UpstreamId.of("i-draining"), 50);

    assertThat(total.perSecond()).isCloseTo(10.0 * UPSTREAMS, within(0.001));
    assertThat(total.covers(upstreams)).isTrue();
    assertThat(total.covers(upstreams.subList(1, UPSTREAMS))).isFalse();
  }
}
