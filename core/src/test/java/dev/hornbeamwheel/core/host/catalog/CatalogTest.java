package dev.hornbeamwheel.core.host.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What a host believes of configuration and upstreams. */
final class CatalogTest {
  private static final ServiceId LEDGER = ServiceId.of("ledger");
  private static final DataCentreId VANNES = DataCentreId.of("vannes");
  private static final Address ADDRESS = new Address("10.0.0.1", 80);

  private final Catalog catalog = Catalog.empty();

  private static FleetConfiguration configuration(long version) {
    return FleetConfiguration.of(
        version,
        List.of(),
        List.of(new ServiceSpec(LEDGER, true, "/health", 100, 0)),
        new CallerLimits(1, 1, 1, 1));
  }

  private static UpstreamRegistration entry(String id, ServiceId service, long started) {
    return new UpstreamRegistration(
        new UpstreamIncarnation(UpstreamId.of(id), started), service, ADDRESS, VANNES, 2, false, 0);
  }

  @Test
  void anOlderConfigurationIsNotAdopted() {
    assertThat(catalog.configure(configuration(9))).isTrue();
    assertThat(catalog.configure(configuration(7))).isFalse();
    assertThat(catalog.configuration().orElseThrow().version()).isEqualTo(9);
  }

  @Test
  void aLaterStartAtTheAddressShowsThatTheEarlierOneEnded() {
    catalog.configure(configuration(1));
    catalog.putUpstream(entry("i-1", LEDGER, 100));
    catalog.putUpstream(entry("i-2", LEDGER, 200));

    assertThat(catalog.superseded(entry("i-1", LEDGER, 100).incarnation(), ADDRESS)).isTrue();
    assertThat(catalog.superseded(entry("i-2", LEDGER, 200).incarnation(), ADDRESS)).isFalse();
  }

  @Test
  void aRegistrationOfAnUnknownServiceProvesNothing() {
    catalog.configure(configuration(1));
    catalog.putUpstream(entry("i-1", LEDGER, 100));
    catalog.putUpstream(entry("i-forged", ServiceId.of("unheard-of"), 200));

    assertThat(catalog.superseded(entry("i-1", LEDGER, 100).incarnation(), ADDRESS)).isFalse();
  }

  @Test
  void aRegistrationThatLapsedWhileTheStoreWasAwayIsKeptForTwoSeconds() {
    catalog.configure(configuration(1));
    catalog.putUpstream(entry("i-1", LEDGER, 100));
    catalog.storeReturned(10_000);
    catalog.removeUpstream(10_100, UpstreamId.of("i-1"));

    catalog.tick(11_900);
    assertThat(catalog.upstream(UpstreamId.of("i-1"))).isPresent();
    catalog.tick(12_000);
    assertThat(catalog.upstream(UpstreamId.of("i-1"))).isEmpty();
  }

  @Test
  void anEvacuatedDataCentreGetsNothing() {
    catalog.configure(configuration(1));
    catalog.putUpstream(entry("i-1", LEDGER, 100));
    catalog.evacuate(Set.of(VANNES));

    assertThat(catalog.usable(LEDGER)).isEmpty();
  }

  // Guards against work at each request that grows with the number of upstreams.
  @Test
  void usableUpstreamsAreCollectedOnceAfterEachChange() {
    catalog.configure(configuration(1));
    catalog.putUpstream(entry("i-1", LEDGER, 100));
    List<UpstreamRegistration> first = catalog.usable(LEDGER);
    assertThat(catalog.usable(LEDGER)).isSameAs(first);

    catalog.putUpstream(entry("i-2", LEDGER, 200));
    assertThat(catalog.usable(LEDGER)).hasSize(2);
    catalog.removeUpstream(0, UpstreamId.of("i-1"));
    assertThat(catalog.usable(LEDGER)).hasSize(1);
    catalog.evacuate(Set.of(VANNES));
    assertThat(catalog.usable(LEDGER)).isEmpty();
    catalog.evacuate(Set.of());
    assertThat(catalog.usable(LEDGER)).hasSize(1);
  }

  @Test
  void aRegistrationWhoseDelayPassesIsUsableNoMore() {
    catalog.configure(configuration(1));
    catalog.putUpstream(entry("i-1", LEDGER, 100));
    catalog.storeReturned(10_000);
    catalog.removeUpstream(10_100, UpstreamId.of("i-1"));
    assertThat(catalog.usable(LEDGER)).hasSize(1);

    catalog.tick(12_000);
    assertThat(catalog.usable(LEDGER)).isEmpty();
  }
}
