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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Who waits, who is refused and where work goes, by the pattern of the load. */
final class SlotBrokerTest {
  private static final ServiceId DESK = ServiceId.of("order-desk");
  private static final ServiceId LEDGER = ServiceId.of("stock-ledger");
  private static final DataCentreId VANNES = DataCentreId.of("vannes");
  private static final DataCentreId MORLAIX = DataCentreId.of("morlaix");
  private static final LinkId LINK = new LinkId(1);
  private static final double COLD_PER_SECOND = 2.6;
  private static final int HOT_KEY = 7;
  private static final int LONE_KEY = 9;

  private final Catalog catalog = Catalog.empty();
  private final SlotBroker broker = SlotBroker.create(catalog, new TwoOwners());
  private final Map<Long, UpstreamId> given = new HashMap<>();
  private final List<SlotEffect.Refuse> refused = new ArrayList<>();
  private long nextAsk = 1;
  private long ownerReadyMillis;

  SlotBrokerTest() {
    catalog.configure(
        FleetConfiguration.of(
            1,
            List.of(),
            List.of(
                new ServiceSpec(DESK, false, "/health", 100, COLD_PER_SECOND),
                new ServiceSpec(LEDGER, true, "/health", 100, COLD_PER_SECOND)),
            new CallerLimits(1, 1, 1, 1)));
  }

  /** One key has an owner of its own; the other keys share one. */
  private final class TwoOwners implements KeyLookup {
    @Override
    public Optional<UpstreamId> holder(long nowMillis, ServiceId service, int key) {
      return nowMillis < readyMillis(nowMillis, service, key)
          ? Optional.empty()
          : owner(service, key);
    }

    @Override
    public Optional<UpstreamId> owner(ServiceId service, int key) {
      return Optional.of(UpstreamId.of(key == LONE_KEY ? "i-lone" : "i-ledger"));
    }

    @Override
    public long fencingToken(ServiceId service, int key) {
      return 3;
    }

    @Override
    public long readyMillis(long nowMillis, ServiceId service, int key) {
      return Math.max(nowMillis, ownerReadyMillis);
    }
  }

  private void upstream(String id, ServiceId service, DataCentreId dataCentre, long coldUntil) {
    catalog.putUpstream(
        new UpstreamEntry(
            new UpstreamLife(UpstreamId.of(id), 1),
            service,
            new Address("10.0.0.1", 80),
            dataCentre,
            2,
            false,
            coldUntil));
  }

  private long ask(long now, ServiceId service, int priority, boolean large) {
    OptionalInt key = service.equals(LEDGER) ? OptionalInt.of(HOT_KEY) : OptionalInt.empty();
    return ask(now, service, key, priority, large);
  }

  private long ask(long now, ServiceId service, OptionalInt key, int priority, boolean large) {
    long id = nextAsk++;
    take(
        broker.requestSlot(
            now,
            new SlotRequest(
                LINK,
                id,
                VANNES,
                service,
                key,
                priority,
                now,
                now + 1_200,
                now + 600,
                large,
                Set.of())));
    return id;
  }

  private void done(long now, long ask, Completion completion, long ranMillis) {
    take(
        broker.release(
            now, new SlotRequestId(LINK, ask), given.get(ask), completion, ranMillis, 0));
  }

  private void take(List<SlotEffect> effects) {
    effects.forEach(
        effect -> {
          if (effect instanceof SlotEffect.Grant give) {
            given.put(give.slotRequestId().number(), give.upstream());
          } else if (effect instanceof SlotEffect.Refuse refuse) {
            refused.add(refuse);
          }
        });
  }

  @Test
  void hotKeyIsServedUpToItsOwnersRoomAndTheRestRefusedAtOnceWithSpacedReturns() {
    upstream("i-ledger", LEDGER, VANNES, 0);
    for (int i = 0; i < 40; i++) {
      ask(0, LEDGER, 2, false);
    }

    assertThat(given).hasSize(2);
    assertThat(refused).hasSizeGreaterThan(20);
    assertThat(refused.stream().map(SlotEffect.Refuse::retryAfterMillis).distinct().count())
        .isGreaterThan(3);
    assertThat(refused)
        .allSatisfy(refuse -> assertThat(refuse.retryAfterMillis()).isLessThanOrEqualTo(400));
  }

  @Test
  void burstNeverFillsAnUpstreamBeyondItsSlots() {
    upstream("i-1", DESK, VANNES, 0);
    upstream("i-2", DESK, MORLAIX, 0);
    for (int i = 0; i < 20; i++) {
      ask(0, DESK, 1, false);
    }

    assertThat(given).hasSize(4);
    done(200, given.keySet().iterator().next(), Completion.SERVED, 200);
    assertThat(given).hasSize(5);
  }

  @Test
  void urgentRequestsGoFirstWhenSlotsAreScarce() {
    upstream("i-1", DESK, VANNES, 0);
    long first = ask(0, DESK, 1, false);
    ask(0, DESK, 1, false);
    long relaxed = ask(1, DESK, 2, false);
    long urgent = ask(2, DESK, 0, false);

    done(50, first, Completion.SERVED, 50);

    assertThat(given).containsKey(urgent).doesNotContainKey(relaxed);
  }

  @Test
  void coldStartGetsNoMoreThanItBears() {
    upstream("i-1", DESK, VANNES, 10_000);
    for (long now = 0; now < 3_000; now += 25) {
      long id = ask(now, DESK, 1, false);
      if (given.containsKey(id)) {
        done(now, id, Completion.SERVED, 1);
      }
      take(broker.tick(now));
    }

    assertThat(given.size()).isLessThanOrEqualTo((int) (3 * COLD_PER_SECOND) + 2);
  }

  @Test
  void largeAnswersStayInTheDataCentreWhileItHasRoom() {
    upstream("i-far", DESK, MORLAIX, 0);
    upstream("i-near", DESK, VANNES, 0);

    long first = ask(0, DESK, 2, true);
    long second = ask(0, DESK, 2, true);

    assertThat(given.get(first)).isEqualTo(UpstreamId.of("i-near"));
    assertThat(given.get(second)).isEqualTo(UpstreamId.of("i-near"));
  }

  @Test
  void failingUpstreamIsAvoidedWhileAnotherHasRoom() {
    upstream("i-1", DESK, VANNES, 0);
    upstream("i-2", DESK, VANNES, 0);
    for (int i = 0; i < 12; i++) {
      long id = ask(i, DESK, 1, false);
      boolean grey = given.get(id).equals(UpstreamId.of("i-1"));
      done(i, id, grey ? Completion.FAILED : Completion.SERVED, 100);
    }

    assertThat(given.get(ask(100, DESK, 1, false))).isEqualTo(UpstreamId.of("i-2"));
  }

  @Test
  void slotsOfALostHostAreFreeAgain() {
    upstream("i-1", DESK, VANNES, 0);
    ask(0, DESK, 1, false);
    ask(0, DESK, 1, false);

    take(broker.hostDisconnected(10, LINK));
    long id = ask(20, DESK, 1, false);

    assertThat(given).containsKey(id);
  }

  @Test
  void anUpstreamThatShedsHalfOfItsRequestsKeepsAllItsSlotsBusy() {
    upstream("i-1", DESK, VANNES, 0);
    long now = 0;
    for (int i = 0; i < 20; i++) {
      now += 50;
      long id = ask(now, DESK, 1, false);
      done(now, id, i % 3 == 0 ? Completion.SERVED : Completion.NOT_RUN, 100);
    }

    long first = ask(now + 50, DESK, 1, false);
    long second = ask(now + 50, DESK, 1, false);

    assertThat(given).containsKeys(first, second);
  }

  @Test
  void anUpstreamThatNeverAnswersGetsSingleRequests() {
    upstream("i-1", DESK, VANNES, 0);
    long now = 0;
    for (int i = 0; i < 4; i++) {
      now += 50;
      done(now, ask(now, DESK, 1, false), Completion.TIMED_OUT, 100);
    }

    long first = ask(now, DESK, 1, false);
    long second = ask(now, DESK, 1, false);

    assertThat(given).containsKey(first).doesNotContainKey(second);
  }

  @Test
  void callersOfALostOwnerComeBackWhenItsKeysAreHeldAgain() {
    upstream("i-ledger", LEDGER, VANNES, 0);
    ownerReadyMillis = 1_100;

    ask(800, LEDGER, 2, false);
    ask(0, LEDGER, 2, false);

    assertThat(given).isEmpty();
    assertThat(refused).hasSize(1);
    assertThat(refused.get(0).retryAfterMillis()).isEqualTo(400);
  }

  @Test
  void refusalsForABusyKeyDoNotPutOffCallersOfOtherKeys() {
    upstream("i-ledger", LEDGER, VANNES, 0);
    upstream("i-lone", LEDGER, VANNES, 0);
    for (int i = 0; i < 40; i++) {
      ask(0, LEDGER, 2, false);
    }
    int before = refused.size();
    for (int i = 0; i < 40 && refused.size() == before; i++) {
      ask(0, LEDGER, OptionalInt.of(LONE_KEY), 2, false);
    }

    assertThat(refused).hasSize(before + 1);
    assertThat(refused.get(before).retryAfterMillis()).isLessThan(400);
  }
}
