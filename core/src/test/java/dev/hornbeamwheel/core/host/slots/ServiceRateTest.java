package dev.hornbeamwheel.core.host.slots;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.UpstreamEntry;
import dev.hornbeamwheel.core.host.catalog.UpstreamLife;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The sum of what the upstreams of a service can serve. */
final class ServiceRateTest {
  private static final int UPSTREAMS = 300;

  private final List<UpstreamEntry> upstreams =
      IntStream.range(0, UPSTREAMS).mapToObj(ServiceRateTest::upstream).toList();
  private final Map<UpstreamId, Double> rates = new HashMap<>();
  private int looks;

  private static UpstreamEntry upstream(int number) {
    return new UpstreamEntry(
        new UpstreamLife(UpstreamId.of("i-" + number), 1),
        ServiceId.of("order-desk"),
        new Address("10.0.0.1", 1_000 + number),
        DataCentreId.of("vannes"),
        2,
        false,
        0);
  }

  private double rate(UpstreamEntry entry) {
    looks++;
    return rates.getOrDefault(entry.id(), 10.0);
  }

  // Guards against a look at every upstream at each request that has to wait.
  @Test
  void theSumFollowsSingleChangesWithoutALookAtTheOthers() {
    ServiceRate sum = ServiceRate.of(upstreams, this::rate);
    Random random = new Random(7);
    for (int i = 0; i < 10_000; i++) {
      UpstreamId changed = upstreams.get(random.nextInt(UPSTREAMS)).id();
      double rate = random.nextInt(4) == 0 ? 0 : 30 * random.nextDouble();
      rates.put(changed, rate);
      sum.update(changed, rate);
    }

    assertThat(looks).isEqualTo(UPSTREAMS);
    assertThat(sum.perSecond())
        .isCloseTo(ServiceRate.of(upstreams, this::rate).perSecond(), within(0.001));
  }

  @Test
  void anUpstreamThatIsNotOfTheSumChangesNothing() {
    ServiceRate sum = ServiceRate.of(upstreams, this::rate);

    sum.update(UpstreamId.of("i-draining"), 50);

    assertThat(sum.perSecond()).isCloseTo(10.0 * UPSTREAMS, within(0.001));
    assertThat(sum.covers(upstreams)).isTrue();
    assertThat(sum.covers(upstreams.subList(1, UPSTREAMS))).isFalse();
  }
}
