package dev.hornbeamwheel.core.host.request;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Upstreams that ask for no requests are left alone for that time, and upstreams that leave. */
final class UpstreamClosuresTest {
  private static final ServiceId DESK = ServiceId.of("order-desk");

  private final Catalog catalog = Catalog.empty();
  private final UpstreamClosures closures = new UpstreamClosures(catalog);

  private static UpstreamRegistration upstream(String id, long start) {
    return new UpstreamRegistration(
        new UpstreamIncarnation(UpstreamId.of(id), start),
        DESK,
        new Address("10.0.0.1", 80),
        DataCentreId.of("vannes"),
        2,
        false,
        0);
  }

  @Test
  void anUpstreamIsLeftAloneForTheTimeThatItNamed() {
    UpstreamRegistration upstream = upstream("i-1", 1);
    closures.close(1_000, upstream.incarnation(), 1_500);
    closures.close(1_200, upstream.incarnation(), 100);

    assertThat(closures.closedMillis(2_400, upstream)).isEqualTo(100);
    assertThat(closures.closed(2_400)).containsExactly(upstream.id());
    assertThat(closures.closedMillis(2_500, upstream)).isZero();
    assertThat(closures.closed(2_500)).isEmpty();
  }

  // Guards against an upstream that is left alone because an earlier start of it asked for that.
  @Test
  void aLaterStartIsNotConcerned() {
    closures.close(0, upstream("i-1", 1).incarnation(), 1_500);
    catalog.markLeaving(upstream("i-1", 1).incarnation());

    assertThat(closures.closedMillis(10, upstream("i-1", 2))).isZero();
    assertThat(catalog.usable(upstream("i-1", 1))).isFalse();
    assertThat(catalog.usable(upstream("i-1", 2))).isTrue();
  }

  // Guards against requests that wait in vain while all upstreams of a service want none.
  @Test
  void aServiceIsClosedForAsLongAsAllItsUpstreamsAre() {
    catalog.replaceUpstreams(0, List.of(upstream("i-1", 1), upstream("i-2", 1)));
    closures.close(0, upstream("i-1", 1).incarnation(), 1_500);
    assertThat(closures.allClosedMillis(100, DESK)).isEmpty();

    closures.close(0, upstream("i-2", 1).incarnation(), 900);
    assertThat(closures.allClosedMillis(100, DESK)).hasValue(800);
  }

  // Guards against a registration, read again as it was, that brings a leaving upstream back.
  @Test
  void aRegistrationDoesNotBringALeavingUpstreamBack() {
    catalog.replaceUpstreams(0, List.of(upstream("i-1", 1)));
    assertThat(catalog.markLeaving(upstream("i-1", 1).incarnation())).isTrue();
    assertThat(catalog.markLeaving(upstream("i-1", 1).incarnation())).isFalse();

    catalog.putUpstream(upstream("i-1", 1));
    catalog.replaceUpstreams(0, List.of(upstream("i-1", 1)));

    assertThat(catalog.usable(DESK)).isEmpty();
    assertThat(catalog.leaving()).containsExactly(upstream("i-1", 1).incarnation());
  }

  // Guards against memory that grows with every upstream that ever was.
  @Test
  void theStateIsBounded() {
    for (int i = 0; i < 2 * UpstreamClosures.MAX_UPSTREAMS; i++) {
      closures.close(0, upstream("i-" + i, 1).incarnation(), 1_000_000);
    }
    assertThat(closures.closed(1)).hasSize(UpstreamClosures.MAX_UPSTREAMS);
    assertThat(closures.closed(UpstreamClosures.MAX_CLOSED_MILLIS)).isEmpty();
  }
}
