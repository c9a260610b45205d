package dev.hornbeamwheel.core.host.slots;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.CallerLimits;
import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.catalog.ServiceSpec;
import dev.hornbeamwheel.core.host.catalog.UpstreamEntry;
import dev.hornbeamwheel.core.host.catalog.UpstreamLife;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What the broker looks at when many upstreams have waiting requests. */
final class SlotBrokerFleetTest {
  private static final ServiceId LEDGER = ServiceId.of("stock-ledger");
  private static final DataCentreId VANNES = DataCentreId.of("vannes");
  private static final LinkId LINK = new LinkId(1);
  private static final int UPSTREAMS = 400;
  private static final int SLOTS = 2;
  private static final int WAITING_EACH = 2;

  /** An owner's slots and its waiting asks, each looked up a few times at most. */
  private static final int MOST_LOOKS = 8 * (SLOTS + WAITING_EACH);

  private final Catalog catalog = Catalog.empty();
  private final CountingOwners owners = new CountingOwners();
  private final SlotBroker broker = SlotBroker.create(catalog, owners);
  private final List<SlotEffect> effects = new ArrayList<>();
  private long nextAsk;

  /** Each key is owned by the upstream of its number, after a shift. */
  private static final class CountingOwners implements KeyLookup {
    private int looks;
    private int shift;
    private boolean held = true;

    @Override
    public Optional<UpstreamId> holder(long nowMillis, ServiceId service, int key) {
      return held ? owner(service, key) : Optional.empty();
    }

    @Override
    public Optional<UpstreamId> owner(ServiceId service, int key) {
      looks++;
      return Optional.of(upstream((key + shift) % UPSTREAMS));
    }

    @Override
    public long fencingToken(ServiceId service, int key) {
      return 1;
    }

    @Override
    public long readyMillis(long nowMillis, ServiceId service, int key) {
      looks++;
      return nowMillis;
    }
  }

  SlotBrokerFleetTest() {
    catalog.configure(
        FleetConfiguration.of(
            1,
            List.of(),
            List.of(new ServiceSpec(LEDGER, true, "/health", 100, 0)),
            new CallerLimits(1, 1, 1, 1)));
    IntStream.range(0, UPSTREAMS)
        .forEach(
            i ->
                catalog.putUpstream(
                    new UpstreamEntry(
                        new UpstreamLife(upstream(i), 1),
                        LEDGER,
                        new Address("10.0.0.1", 1_000 + i),
                        VANNES,
                        SLOTS,
                        false,
                        0)));
  }

  private static UpstreamId upstream(int number) {
    return UpstreamId.of("i-" + number);
  }

  private void ask(long now, int key) {
    SlotRequest ask =
        new SlotRequest(
            LINK,
            nextAsk++,
            VANNES,
            LEDGER,
            OptionalInt.of(key),
            1,
            now,
            now + 10_000,
            now + 600,
            false,
            Set.of());
    effects.addAll(broker.requestSlot(now, ask));
  }

  private void fillAllAndLetOthersWait() {
    for (int round = 0; round < SLOTS + WAITING_EACH; round++) {
      IntStream.range(0, UPSTREAMS).forEach(key -> ask(0, key));
    }
    assertThat(effects).hasSize(SLOTS * UPSTREAMS);
    assertThat(broker.waitingCount(LEDGER)).isEqualTo(WAITING_EACH * UPSTREAMS);
  }

  private List<SlotEffect> firstEnds(long now, int key, Completion completion) {
    return broker.release(now, new SlotRequestId(LINK, key), upstream(key), completion, 100, 0);
  }

  // Guards against a coordinator that falls behind because each end of a request looks at all
  // that wait for other upstreams.
  @Test
  void theEndOfARequestLooksOnlyAtThoseThatWaitForItsUpstream() {
    fillAllAndLetOthersWait();
    owners.looks = 0;

    assertThat(firstEnds(10, 7, Completion.SERVED)).hasSize(1);

    assertThat(owners.looks).isLessThanOrEqualTo(MOST_LOOKS);
  }

  // Guards against the same at each new request.
  @Test
  void aNewRequestLooksOnlyAtThoseThatWaitForTheSameUpstream() {
    fillAllAndLetOthersWait();
    owners.looks = 0;

    ask(10, 7);

    assertThat(owners.looks).isLessThanOrEqualTo(MOST_LOOKS);
  }

  // Guards against the same when callers leave.
  @Test
  void aCancelledRequestLooksOnlyAtThoseThatWaitForItsUpstream() {
    fillAllAndLetOthersWait();
    owners.looks = 0;

    assertThat(broker.cancel(10, new SlotRequestId(LINK, 7))).hasSize(1);

    assertThat(owners.looks).isLessThanOrEqualTo(MOST_LOOKS);
  }

  @Test
  void waitingRequestsGoToTheNewOwnerOfTheirKeyAsSoonAsItHoldsIt() {
    owners.held = false;
    ask(0, 7);
    assertThat(effects).isEmpty();

    owners.shift = 1;
    assertThat(broker.ownersChanged(10, LEDGER)).isEmpty();
    owners.held = true;

    assertThat(broker.ownersChanged(20, LEDGER))
        .containsExactly(new SlotEffect.Grant(new SlotRequestId(LINK, 0), upstream(8), 1));
  }

  // Guards against slots that stay empty until the next tick after an upstream shed a request.
  @Test
  void aPausedUpstreamGoesOnAtTheFirstEventAfterItsPause() {
    fillAllAndLetOthersWait();
    assertThat(firstEnds(0, 7, Completion.NOT_RUN)).isEmpty();

    assertThat(firstEnds(11, 9, Completion.SERVED))
        .extracting(effect -> ((SlotEffect.Grant) effect).upstream())
        .containsExactly(upstream(7), upstream(9));
  }
}
