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
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** The broker beside a simple one that looks at all waiting requests after each event. */
final class SlotBrokerFuzzTest {
  private static final ServiceId LEDGER = ServiceId.of("stock-ledger");
  private static final ServiceId DESK = ServiceId.of("order-desk");
  private static final DataCentreId VANNES = DataCentreId.of("vannes");
  private static final LinkId LINK = new LinkId(1);
  private static final int OWNERS = 9;
  private static final int SLOTS = 2;
  private static final int KEYS = 40;
  private static final int EVENTS = 400;
  private static final Comparator<SlotRequest> FIRST =
      Comparator.comparingInt(SlotRequest::priority)
          .thenComparingLong(SlotRequest::arrivedMillis)
          .thenComparingLong(SlotRequest::number);

  /** Owners of keys that move, and hold nothing on the way. */
  private static final class MovingOwners implements KeyLookup {
    private final Map<Integer, UpstreamId> owners = new HashMap<>();
    private final Set<Integer> moving = new HashSet<>();

    @Override
    public Optional<UpstreamId> holder(long nowMillis, ServiceId service, int key) {
      return moving.contains(key) ? Optional.empty() : owner(service, key);
    }

    @Override
    public Optional<UpstreamId> owner(ServiceId service, int key) {
      return Optional.ofNullable(owners.get(key));
    }

    @Override
    public long fencingToken(ServiceId service, int key) {
      return 1;
    }

    @Override
    public long readyMillis(long nowMillis, ServiceId service, int key) {
      return nowMillis;
    }
  }

  private static final class Run {
    private final Random random;
    private final Catalog catalog = Catalog.empty();
    private final MovingOwners owners = new MovingOwners();
    private final SlotBroker broker = SlotBroker.create(catalog, owners);
    private final Map<Long, SlotRequest> waiting = new HashMap<>();
    private final Map<Long, UpstreamId> running = new HashMap<>();
    private final Map<UpstreamId, Integer> busy = new HashMap<>();
    private long nowMillis;
    private long nextAsk;

    Run(long seed) {
      random = new Random(seed);
      catalog.configure(
          FleetConfiguration.of(
              1,
              List.of(),
              List.of(
                  new ServiceSpec(LEDGER, true, "/health", 100, 0),
                  new ServiceSpec(DESK, false, "/health", 100, 0)),
              new CallerLimits(1, 1, 1, 1)));
      for (int i = 0; i < OWNERS; i++) {
        register("i-ledger-" + i, LEDGER, i);
      }
      register("i-desk", DESK, OWNERS);
      for (int key = 0; key < KEYS; key++) {
        owners.owners.put(key, anyOwner());
      }
    }

    private void register(String id, ServiceId service, int port) {
      catalog.putUpstream(
          new UpstreamEntry(
              new UpstreamLife(UpstreamId.of(id), 1),
              service,
              new Address("10.0.0.1", 1_000 + port),
              VANNES,
              SLOTS,
              false,
              0));
    }

    private UpstreamId anyOwner() {
      return UpstreamId.of("i-ledger-" + random.nextInt(OWNERS));
    }

    void run() {
      for (int i = 0; i < EVENTS; i++) {
        nowMillis += random.nextInt(4);
        take(event());
        List<SlotRequest> servable = waiting.values().stream().filter(this::servable).toList();
        assertThat(servable).as("waiting beside a free slot").isEmpty();
      }
    }

    private List<SlotEffect> event() {
      int choice = random.nextInt(20);
      if (choice < 11 || running.isEmpty()) {
        return ask();
      }
      if (choice < 17) {
        return end(any(running.keySet()));
      }
      if (choice < 18) {
        return cancel();
      }
      int key = random.nextInt(KEYS);
      if (choice < 19) {
        owners.owners.put(key, anyOwner());
        owners.moving.add(key);
      } else {
        owners.moving.clear();
      }
      return broker.ownersChanged(nowMillis, LEDGER);
    }

    private List<SlotEffect> ask() {
      boolean keyed = random.nextInt(4) > 0;
      SlotRequest ask =
          new SlotRequest(
              LINK,
              nextAsk++,
              VANNES,
              keyed ? LEDGER : DESK,
              keyed ? OptionalInt.of(random.nextInt(KEYS)) : OptionalInt.empty(),
              random.nextInt(3),
              nowMillis,
              nowMillis + 1_000_000,
              nowMillis + 900_000,
              false,
              Set.of());
      waiting.put(ask.number(), ask);
      return broker.requestSlot(nowMillis, ask);
    }

    private List<SlotEffect> end(long ask) {
      UpstreamId upstream = leave(ask);
      return broker.release(
          nowMillis,
          new SlotRequestId(LINK, ask),
          upstream,
          Completion.SERVED,
          1 + random.nextInt(300),
          0);
    }

    private List<SlotEffect> cancel() {
      boolean gone = random.nextBoolean() || waiting.isEmpty();
      long ask = any(gone ? running.keySet() : waiting.keySet());
      if (gone) {
        leave(ask);
      }
      waiting.remove(ask);
      return broker.cancel(nowMillis, new SlotRequestId(LINK, ask));
    }

    private UpstreamId leave(long ask) {
      UpstreamId upstream = running.remove(ask);
      busy.merge(upstream, -1, Integer::sum);
      return upstream;
    }

    private long any(Set<Long> asks) {
      List<Long> sorted = asks.stream().sorted().toList();
      return sorted.get(random.nextInt(sorted.size()));
    }

    private void take(List<SlotEffect> effects) {
      List<SlotEffect.Grant> gives = new ArrayList<>();
      for (SlotEffect effect : effects) {
        assertThat(effect).isInstanceOf(SlotEffect.Grant.class);
        gives.add((SlotEffect.Grant) effect);
      }
      for (SlotEffect.Grant give : gives) {
        SlotRequest ask = waiting.get(give.slotRequestId().number());
        assertThat(server(ask)).as("holder of the key").contains(give.upstream());
        assertThat(busy.getOrDefault(give.upstream(), 0)).isLessThan(SLOTS);
        Optional<SlotRequest> first =
            waiting.values().stream().filter(other -> server(other).equals(server(ask))).min(FIRST);
        assertThat(first).as("the first that waits for the upstream").contains(ask);
        waiting.remove(ask.number());
        running.put(ask.number(), give.upstream());
        busy.merge(give.upstream(), 1, Integer::sum);
      }
    }

    private boolean servable(SlotRequest ask) {
      return server(ask).filter(id -> busy.getOrDefault(id, 0) < SLOTS).isPresent();
    }

    private Optional<UpstreamId> server(SlotRequest ask) {
      return ask.key().isPresent()
          ? owners.holder(nowMillis, LEDGER, ask.key().getAsInt())
          : Optional.of(UpstreamId.of("i-desk"));
    }
  }

  // Guards against an index of waiting requests that forgets some, or serves them out of turn.
  @Property(tries = 150, seed = "2026120405")
  void everyFreeSlotGoesAtOnceToTheFirstThatWaitsForIt(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    new Run(seed).run();
  }
}
