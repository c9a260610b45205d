package dev.hornbeamwheel.core.host.request;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.CallerLimits;
import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.catalog.ServiceSpec;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Distinguishes connections lost to an ended upstream from those lost to a running one. */
final class CrashDetectorTest {
  private static final ServiceId DESK = ServiceId.of("order-desk");
  private static final Address ADDRESS = new Address("10.0.0.1", 80);
  private static final long FINGERPRINT = 7;
  private static final long CHECKED = CrashDetector.FIRST_CHECK_DELAY_MILLIS;

  private final Catalog catalog = Catalog.empty();
  private final CrashDetector detector = new CrashDetector(catalog);
  private final UpstreamRegistration upstream = upstream("i-1", 1);

  private static UpstreamRegistration upstream(String id, long start) {
    return new UpstreamRegistration(
        new UpstreamIncarnation(UpstreamId.of(id), start),
        DESK,
        ADDRESS,
        DataCentreId.of("vannes"),
        2,
        false,
        0);
  }

  private void configure() {
    catalog.configure(
        FleetConfiguration.of(
            1,
            List.of(),
            List.of(new ServiceSpec(DESK, false, "/health", 10, 0)),
            new CallerLimits(1, 1, 1, 1)));
    catalog.putUpstream(upstream);
  }

  private Map<Long, Long> check(long nowMillis, CheckResult result) {
    return detector.checked(nowMillis, upstream.incarnation(), result);
  }

  // Guards against evidence against requests whose answers were cut off by an upstream that lives.
  @Test
  void anUpstreamThatAcceptsAConnectionHasNotEnded() {
    detector.connectionLost(0, upstream, FINGERPRINT);
    assertThat(detector.isInDoubt(FINGERPRINT)).isTrue();
    assertThat(detector.startDueChecks(CHECKED)).containsExactly(upstream);

    assertThat(check(CHECKED + 1, CheckResult.ACCEPTED)).isEmpty();
    assertThat(detector.isInDoubt(FINGERPRINT)).isFalse();
    assertThat(detector.startDueChecks(10_000)).isEmpty();
  }

  @Test
  void anUpstreamWithoutAListenerHasEnded() {
    detector.connectionLost(0, upstream, FINGERPRINT);
    detector.connectionLost(1, upstream, FINGERPRINT + 1);
    assertThat(detector.startDueChecks(CHECKED)).hasSize(1);

    assertThat(check(CHECKED + 1, CheckResult.REFUSED))
        .containsOnly(Map.entry(FINGERPRINT, 0L), Map.entry(FINGERPRINT + 1, 1L));
  }

  // Guards against an upstream that ends between the connection of a check and the report on it,
  // and counts as alive.
  @Test
  void aLossDuringACheckIsCheckedAgain() {
    detector.connectionLost(0, upstream, FINGERPRINT);
    assertThat(detector.startDueChecks(CHECKED)).hasSize(1);
    detector.connectionLost(CHECKED + 1, upstream, FINGERPRINT + 1);

    assertThat(check(CHECKED + 2, CheckResult.ACCEPTED)).isEmpty();
    assertThat(detector.isInDoubt(FINGERPRINT)).isFalse();
    long next = CHECKED + 2 + CrashDetector.CHECK_INTERVAL_MILLIS;
    assertThat(detector.startDueChecks(next)).hasSize(1);
    assertThat(check(next + 1, CheckResult.REFUSED))
        .containsOnly(Map.entry(FINGERPRINT + 1, CHECKED + 1));
  }

  // Guards against evidence against all requests that run at upstreams which a partition cuts off.
  @Test
  void anUpstreamThatDoesNotRespondIsNoEvidence() {
    detector.connectionLost(0, upstream, FINGERPRINT);
    for (long now = 0; now <= CrashDetector.MAX_DOUBT_MILLIS; now += 25) {
      if (!detector.startDueChecks(now).isEmpty()) {
        assertThat(check(now, CheckResult.NO_RESPONSE)).isEmpty();
      }
      assertThat(detector.takeSuperseded(now)).isEmpty();
    }
    detector.takeSuperseded(CrashDetector.MAX_DOUBT_MILLIS + 1);
    assertThat(detector.isInDoubt(FINGERPRINT)).isFalse();
  }

  // Guards against crashes that go unnoticed because the upstream can't be reached before its
  // successor has its address.
  @Test
  void aLaterStartAtTheAddressShowsThatTheUpstreamHasEnded() {
    configure();
    detector.connectionLost(0, upstream, FINGERPRINT);
    catalog.putUpstream(upstream("i-2", 2));

    assertThat(detector.takeSuperseded(1_000))
        .containsExactlyEntriesOf(Map.of(upstream.incarnation(), Map.of(FINGERPRINT, 0L)));
  }
}
