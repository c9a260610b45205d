package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamEntry;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.host.slots.KeyLookup;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.host.slots.SlotBroker;
import dev.hornbeamwheel.core.host.slots.SlotEffect;
import dev.hornbeamwheel.core.host.slots.SlotRequest;
import dev.hornbeamwheel.core.host.slots.SlotRequestId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.function.IntSupplier;

/** Keyed requests under load: slots, owners and upstreams of unequal speed, in virtual time. */
final class KeyLoadWorld {
  private static final LinkId LINK = new LinkId(1);
  private static final DataCentreId HERE = DataCentreId.of("dc-0");
  private static final double[] SPEEDS = {0.6, 1.0, 1.4};
  private static final double MEAN_MILLIS = 220;
  private static final double SPREAD = 0.8;
  private static final double MOST_MILLIS = 1_600;
  private static final double STEP_SECONDS = 0.01;
  private static final int TARGET_MILLIS = 600;
  private static final int AT_ONCE_MILLIS = TARGET_MILLIS / 8;
  private static final int DEADLINE_MILLIS = 1_200;

  private record Running(int key, long endsMillis) {}

  final KeyWorld world;
  private final Random random;
  private final SlotBroker broker;
  private final Map<Long, SlotRequest> waiting = new HashMap<>();
  private final Map<UpstreamId, List<Running>> running = new HashMap<>();
  private long nextAsk = 1;
  private double perSecond;
  private IntSupplier keys = () -> 0;

  int requests;
  int onTime;
  int late;
  int refused;
  int refusedAtOnce;
  int misdirected;

  KeyLoadWorld(int upstreams, long seed) {
    world = new KeyWorld(upstreams, seed);
    random = new Random(seed);
    broker = SlotBroker.create(world.catalog, new Owners());
    world.capacity = entry -> broker.requestsPerSecond(world.nowMillis, entry);
    world.beforeStep = this::step;
    world.workLeft = this::workLeft;
  }

  /** Returns keys that are all alike. */
  IntSupplier even() {
    return hot(0, 0, 1);
  }

  /** Returns keys of which a part falls evenly on a few neighbours. */
  IntSupplier hot(double part, int first, int count) {
    return () ->
        random.nextDouble() < part
            ? first + random.nextInt(count)
            : random.nextInt(KeyRange.MAX_KEY + 1);
  }

  /** Lets callers send requests for a time; returns the part that was answered on time. */
  double load(double requestsPerSecond, IntSupplier requestKeys, long millis) {
    requests = 0;
    onTime = 0;
    late = 0;
    refused = 0;
    refusedAtOnce = 0;
    misdirected = 0;
    perSecond = requestsPerSecond;
    keys = requestKeys;
    world.run(millis);
    perSecond = 0;
    world.run(DEADLINE_MILLIS);
    return onTime / (double) requests;
  }

  private void step() {
    double expected = perSecond * STEP_SECONDS;
    while (expected > 0 && random.nextDouble() < expected) {
      expected -= 1;
      arrive(keys.getAsInt());
    }
    take(broker.tick(world.nowMillis));
  }

  private void arrive(int key) {
    long now = world.nowMillis;
    requests++;
    world.demand.add(now, key);
    SlotRequest ask =
        new SlotRequest(
            LINK,
            nextAsk++,
            HERE,
            KeyWorld.SERVICE,
            OptionalInt.of(key),
            1,
            now,
            now + DEADLINE_MILLIS,
            now + TARGET_MILLIS,
            false,
            Set.of());
    waiting.put(ask.number(), ask);
    take(broker.requestSlot(now, ask));
  }

  private void take(List<SlotEffect> effects) {
    effects.forEach(
        effect -> {
          SlotRequest ask = waiting.remove(effect.slotRequestId().number());
          if (effect instanceof SlotEffect.Grant give) {
            run(ask, give.upstream());
          } else {
            refused++;
            refusedAtOnce += world.nowMillis - ask.arrivedMillis() <= AT_ONCE_MILLIS ? 1 : 0;
          }
        });
  }

  private void run(SlotRequest ask, UpstreamId upstream) {
    int key = ask.key().orElseThrow();
    FakeKeyHolder holder =
        world.all.stream().filter(h -> h.entry.id().equals(upstream)).findFirst().orElseThrow();
    if (!holder.holds(world.nowMillis, key)) {
      misdirected++;
      world.later(2, () -> end(ask, upstream, Completion.MISDIRECTED, 2));
      return;
    }
    long work = work(holder.entry);
    Running entry = new Running(key, world.nowMillis + work);
    running.computeIfAbsent(upstream, id -> new ArrayList<>()).add(entry);
    world.later(
        work,
        () -> {
          running.get(upstream).remove(entry);
          count(ask);
          end(ask, upstream, Completion.SERVED, work);
        });
  }

  private void count(SlotRequest ask) {
    if (world.nowMillis <= ask.targetMillis()) {
      onTime++;
    } else if (world.nowMillis <= ask.deadlineMillis()) {
      late++;
    }
  }

  private void end(SlotRequest ask, UpstreamId upstream, Completion completion, long ranMillis) {
    SlotRequestId ticket = new SlotRequestId(LINK, ask.number());
    take(broker.release(world.nowMillis, ticket, upstream, completion, ranMillis, 0));
  }

  private long work(UpstreamEntry entry) {
    int place = world.catalog.usable(KeyWorld.SERVICE).indexOf(entry);
    double mean = Math.log(MEAN_MILLIS) - SPREAD * SPREAD / 2;
    double work = Math.exp(mean + SPREAD * random.nextGaussian());
    return (long) (Math.min(MOST_MILLIS, work) / SPEEDS[Math.floorMod(place, SPEEDS.length)]);
  }

  private long workLeft(KeyEffect.Release release) {
    return running.getOrDefault(release.upstream(), List.of()).stream()
        .filter(entry -> release.range().contains(entry.key()))
        .mapToLong(entry -> Math.max(0, entry.endsMillis() - world.nowMillis))
        .max()
        .orElse(0);
  }

  private final class Owners implements KeyLookup {
    @Override
    public Optional<UpstreamId> holder(long nowMillis, ServiceId service, int key) {
      return world.service().holder(nowMillis, key);
    }

    @Override
    public Optional<UpstreamId> owner(ServiceId service, int key) {
      return world.service().owner(key);
    }

    @Override
    public long fencingToken(ServiceId service, int key) {
      return world.service().fence(key);
    }

    @Override
    public long readyMillis(long nowMillis, ServiceId service, int key) {
      return world.service().readyMillis(nowMillis, key);
    }
  }
}
