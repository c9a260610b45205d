package dev.hornbeamwheel.core.host.keys;

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
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** One keyed service, its upstreams and the store, in virtual time and with faults. */
final class KeyedServiceSimulation {
  static final ServiceId SERVICE = ServiceId.of("stock-ledger");
  private static final int STEP_MILLIS = 10;
  private static final long LEASE_MARGIN_MILLIS = 100;
  private static final long HOLD_MAX_MILLIS = 10_000;
  private static final int[] PROBED_KEYS =
      IntStream.range(0, 64).map(i -> i * 1_024 + 17).toArray();

  /** Least time after which an order without an answer is carried out late. */
  private static final int LATE_MILLIS = 2_000;

  /** How much later still it may be carried out. */
  private static final int LATE_SPREAD_MILLIS = 10_000;

  /** Longest time for which the coordinator's process does nothing. */
  private static final int BUSY_MILLIS = 1_500;

  private record Task(long atMillis, long order, Runnable run) {}

  private record SentFence(KeyRange range, UpstreamId upstream, long fence) {}

  final Random random;
  final Catalog catalog = Catalog.empty();
  final Map<Address, FakeUpstream> atAddress = new HashMap<>();
  final List<FakeUpstream> all = new ArrayList<>();
  final KeyDemand demand = KeyDemand.empty();
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::order));
  private Optional<KeyTable> row = Optional.empty();
  private long version;
  private long order;
  private long term;
  private int lives;
  private final Set<DataCentreId> cutTowards = new HashSet<>();
  private final Set<DataCentreId> cutBack = new HashSet<>();
  private final Set<SentFence> sentFences = new HashSet<>();
  private final Map<Long, Long> asleepUntil = new HashMap<>();
  private KeyedService service;
  long nowMillis;
  double lossRate;

  /** How late a busy coordinator resets calls at most; until then they may arrive. */
  int resetLateMillis;

  /** Part of the orders that get no answer and are carried out seconds later. */
  double lateRate;

  /** How often the coordinator's process falls asleep after a decision, per step. */
  double busyRate;

  /** Part of the orders that need a connection of their own. */
  double connectRate;

  /** Whether an upstream refuses what is meant for another one, as the platform's do. */
  boolean checksInstance;

  /** Whether each grant had a greater fence than all grants of its keys to others before. */
  boolean fencesRise = true;

  boolean storeAway;
  int moves;

  /** What an upstream can do, for the planner. */
  Capacity capacity = entry -> 10;

  /** How long the work on keys that are released still runs, in milliseconds. */
  ToLongFunction<KeyEffect.Release> workLeft = release -> 0;

  /** Runs before each step. */
  Runnable beforeStep = () -> {};

  KeyedServiceSimulation(int upstreams, long seed) {
    this.random = new Random(seed);
    catalog.configure(
        FleetConfiguration.of(
            1,
            List.of(),
            List.of(new ServiceSpec(SERVICE, true, "/health", 100, 0)),
            new CallerLimits(1, 1, 1, 1)));
    IntStream.range(0, upstreams).forEach(this::startUpstream);
    newTerm();
  }

  /** Lets time pass in which no coordinator acts; returns as {@link #run} does. */
  private int pass(long millis) {
    int most = 0;
    for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
      carryOutDue();
      most = Math.max(most, holders());
    }
    return most;
  }

  private void carryOutDue() {
    while (!tasks.isEmpty() && tasks.peek().atMillis() <= nowMillis) {
      tasks.poll().run().run();
    }
  }

  /** Starts an upstream, or starts it again under another id at the same address. */
  FakeUpstream startUpstream(int place) {
    Address address = new Address("10.1.0." + place, 80);
    UpstreamRegistration entry =
        new UpstreamRegistration(
            new UpstreamIncarnation(UpstreamId.of("i-" + place + "-" + lives++), 1_000 + nowMillis),
            SERVICE,
            address,
            DataCentreId.of("dc-" + place % 3),
            2,
            false,
            0);
    FakeUpstream holder = new FakeUpstream(entry);
    FakeUpstream before = atAddress.put(address, holder);
    if (before != null) {
      before.up = false;
      catalog.removeUpstream(nowMillis, before.entry.id());
    }
    all.add(holder);
    catalog.putUpstream(entry);
    return holder;
  }

  void drain(FakeUpstream holder) {
    UpstreamRegistration entry = holder.entry;
    catalog.putUpstream(
        new UpstreamRegistration(
            entry.incarnation(),
            SERVICE,
            entry.address(),
            entry.dataCentre(),
            entry.slots(),
            true,
            0));
    service.upstreamsChanged();
  }

  /** All hosts are lost for a time; then a new term starts. */
  void loseAllHosts(long millis) {
    term++;
    pass(millis);
    newTerm();
  }

  /** Returns how many probed keys have a holder, by the coordinator, that does not hold them. */
  long wrongHolders() {
    return IntStream.of(PROBED_KEYS)
        .filter(key -> service.holder(nowMillis, key).isPresent())
        .filter(key -> all.stream().noneMatch(holder -> holder.holds(nowMillis, key)))
        .count();
  }

  /** The coordinator is lost; when its lease and its last calls have ended, a term starts. */
  int replaceCoordinator() {
    if (connectRate > 0) {
      asleepUntil.put(term, nowMillis + random.nextInt(BUSY_MILLIS));
    }
    term++;
    int most = pass(LEASE_MARGIN_MILLIS);
    newTerm();
    return most;
  }

  private void newTerm() {
    service =
        KeyedService.startTerm(
            nowMillis,
            SERVICE,
            catalog,
            entry -> capacity.requestsPerSecond(entry),
            demand,
            HOLD_MAX_MILLIS);
  }

  KeyedService service() {
    return service;
  }

  /** Runs the world; returns the greatest number of upstreams that held one key at once. */
  int run(long millis) {
    int most = 0;
    for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
      carryOutDue();
      beforeStep.run();
      act();
      most = Math.max(most, holders());
    }
    return most;
  }

  private void act() {
    if (nowMillis < asleepUntil.getOrDefault(term, 0L)) {
      return;
    }
    List<KeyEffect> effects = service.tick(nowMillis, storeAway);
    if (busyRate > 0 && random.nextDouble() < busyRate) {
      // What was decided waits in the process.
      long decidedIn = term;
      int asleep = random.nextInt(BUSY_MILLIS);
      asleepUntil.put(term, nowMillis + asleep);
      later(asleep, () -> perform(decidedIn, effects));
    } else {
      perform(term, effects);
    }
  }

  /** Cuts a data centre off from the coordinator, in one direction or both. */
  void cutDataCentre(DataCentreId dataCentre, boolean towards, boolean back) {
    if (towards) {
      cutTowards.add(dataCentre);
    }
    if (back) {
      cutBack.add(dataCentre);
    }
  }

  void healDataCentre(DataCentreId dataCentre) {
    cutTowards.remove(dataCentre);
    cutBack.remove(dataCentre);
  }

  /** The registrations of a data centre lapse, as its upstreams do not reach the store. */
  void lapse(DataCentreId dataCentre) {
    registered(dataCentre).forEach(entry -> catalog.removeUpstream(nowMillis, entry.id()));
    service.upstreamsChanged();
  }

  /** The registrations of those that are up come back. */
  void register(DataCentreId dataCentre) {
    registered(dataCentre)
        .filter(entry -> catalog.upstream(entry.id()).isEmpty())
        .forEach(catalog::putUpstream);
    service.upstreamsChanged();
  }

  private Stream<UpstreamRegistration> registered(DataCentreId dataCentre) {
    return atAddress.values().stream()
        .filter(holder -> holder.up)
        .map(holder -> holder.entry)
        .filter(entry -> entry.dataCentre().equals(dataCentre));
  }

  private void noteFence(KeyEffect.Grant grant) {
    boolean risen =
        sentFences.stream()
            .filter(sent -> !sent.upstream().equals(grant.upstream()))
            .filter(
                sent ->
                    sent.range().first() <= grant.range().last()
                        && grant.range().first() <= sent.range().last())
            .allMatch(sent -> sent.fence() < grant.fencingToken());
    fencesRise &= risen;
    sentFences.add(new SentFence(grant.range(), grant.upstream(), grant.fencingToken()));
  }

  /** Returns the part of the probed keys that an upstream holds. */
  double heldPart() {
    long held =
        IntStream.of(PROBED_KEYS)
            .filter(key -> all.stream().anyMatch(holder -> holder.holds(nowMillis, key)))
            .count();
    return held / (double) PROBED_KEYS.length;
  }

  private int holders() {
    IntStream edges = service.assignments().stream().mapToInt(owned -> owned.range().first());
    return IntStream.concat(IntStream.of(PROBED_KEYS), edges)
        .map(key -> (int) all.stream().filter(holder -> holder.holds(nowMillis, key)).count())
        .max()
        .orElse(0);
  }

  private void perform(long sentTerm, List<KeyEffect> effects) {
    for (KeyEffect effect : effects) {
      if (effect instanceof KeyEffect.ReadTable) {
        read(sentTerm);
      } else if (effect instanceof KeyEffect.WriteTable write) {
        write(sentTerm, write);
      } else if (effect instanceof KeyEffect.Grant grant && nowMillis > grant.sendByMillis()) {
        OrderResult notSent = new OrderResult.NotSent("decided too long ago");
        inTerm(sentTerm, () -> service.orderEnded(nowMillis, grant.orderId(), notSent));
      } else if (effect instanceof KeyEffect.Grant grant) {
        noteFence(grant);
        order(
            sentTerm,
            grant.orderId(),
            grant.upstream(),
            grant.address(),
            700,
            0,
            (holder, arrived) -> holder.grant(nowMillis, arrived, grant));
      } else if (effect instanceof KeyEffect.Release release) {
        order(
            sentTerm,
            release.orderId(),
            release.upstream(),
            release.address(),
            3_000,
            workLeft.applyAsLong(release),
            (holder, arrived) -> holder.release(release));
      } else if (effect instanceof KeyEffect.Note note && note.decision().equals("keys-move")) {
        moves++;
      }
    }
  }

  private void read(long sentTerm) {
    Optional<KeyTable> found = row;
    long foundVersion = version;
    TableReadResult result =
        storeAway ? new TableReadResult.Failed() : new TableReadResult.Found(found, foundVersion);
    later(delay(), () -> inTerm(sentTerm, () -> service.tableRead(nowMillis, result)));
  }

  private void write(long sentTerm, KeyEffect.WriteTable write) {
    boolean lost = random.nextDouble() < lossRate;
    later(
        delay(),
        () -> {
          TableWriteResult result = apply(write);
          TableWriteResult told = lost ? new TableWriteResult.Unconfirmed() : result;
          later(delay(), () -> inTerm(sentTerm, () -> service.tableWritten(nowMillis, told)));
        });
  }

  private TableWriteResult apply(KeyEffect.WriteTable write) {
    if (storeAway) {
      return new TableWriteResult.NotApplied();
    }
    if (write.expectedVersion() != version) {
      return new TableWriteResult.Unconfirmed();
    }
    row = Optional.of(write.table());
    version++;
    return new TableWriteResult.Written(version);
  }

  private interface Order {
    OrderResult carryOut(FakeUpstream holder, long arrivedMillis);
  }

  /** A call whose bytes may still arrive until the coordinator resets it. */
  private static final class OpenCall {
    private final long term;
    private final long number;
    private final DataCentreId dataCentre;
    private final long timeOutMillis;
    private boolean ended;

    private OpenCall(long term, long number, DataCentreId dataCentre, long timeOutMillis) {
      this.timeOutMillis = timeOutMillis;
      this.term = term;
      this.number = number;
      this.dataCentre = dataCentre;
    }
  }

  private void order(
      long sentTerm,
      long number,
      UpstreamId meant,
      Address address,
      int timeout,
      long extraDelay,
      Order order) {
    OpenCall call =
        new OpenCall(
            sentTerm, number, atAddress.get(address).entry.dataCentre(), nowMillis + timeout);
    boolean lost = random.nextDouble() < lossRate;
    int reset = timeout + (resetLateMillis == 0 ? 0 : random.nextInt(resetLateMillis));
    later(reset, () -> end(call, new OrderResult.Unanswered("no answer")));
    int arrival = lost && resetLateMillis > 0 ? random.nextInt(reset) : delay();
    boolean connects = connectRate > 0 && random.nextDouble() < connectRate;
    later(
        arrival,
        () ->
            leave(
                call,
                connects,
                () -> {
                  FakeUpstream holder = atAddress.get(address);
                  if (!holder.up || holder.cut) {
                    return;
                  }
                  boolean misdirected = checksInstance && !holder.entry.id().equals(meant);
                  Optional<OrderResult> result =
                      misdirected
                          ? Optional.of(new OrderResult.Misdirected())
                          : carryOut(holder, order);
                  result
                      .filter(told -> !lost)
                      .ifPresent(told -> later(delay() + extraDelay, () -> answer(call, told)));
                }));
  }

  /** Sends an order; one that needs a connection leaves when the process notices that it stands. */
  private void leave(OpenCall call, boolean connects, Runnable carryOut) {
    long wakes = asleepUntil.getOrDefault(call.term, 0L);
    if (connects && nowMillis < wakes) {
      later(wakes - nowMillis, () -> leave(call, true, carryOut));
    } else if (!connects || nowMillis <= call.timeOutMillis) {
      arrive(call, carryOut);
    }
  }

  /** Lets an order arrive, after a cut if its call lasts so long; a reset call arrives no more. */
  private void arrive(OpenCall call, Runnable carryOut) {
    if (call.ended) {
      return;
    }
    if (cutTowards.contains(call.dataCentre)) {
      later(STEP_MILLIS, () -> arrive(call, carryOut));
    } else {
      carryOut.run();
    }
  }

  private void answer(OpenCall call, OrderResult result) {
    if (call.ended) {
      return;
    }
    if (cutBack.contains(call.dataCentre)) {
      later(STEP_MILLIS, () -> answer(call, result));
    } else {
      end(call, result);
    }
  }

  private void end(OpenCall call, OrderResult result) {
    if (call.ended) {
      return;
    }
    long wakes = asleepUntil.getOrDefault(call.term, 0L);
    if (nowMillis < wakes) {
      later(wakes - nowMillis, () -> end(call, result));
    } else {
      call.ended = true;
      inTerm(call.term, () -> service.orderEnded(nowMillis, call.number, result));
    }
  }

  /** Carries an order out now, or late and without an answer. */
  private Optional<OrderResult> carryOut(FakeUpstream holder, Order order) {
    if (holder.refusing) {
      return Optional.of(new OrderResult.Refused(503));
    }
    long arrived = nowMillis;
    if (lateRate > 0 && random.nextDouble() < lateRate) {
      later(
          LATE_MILLIS + random.nextInt(LATE_SPREAD_MILLIS), () -> order.carryOut(holder, arrived));
      return Optional.empty();
    }
    return Optional.of(order.carryOut(holder, arrived));
  }

  private interface Step {
    List<KeyEffect> take();
  }

  private void inTerm(long sentTerm, Step step) {
    if (sentTerm == term) {
      perform(sentTerm, step.take());
    }
  }

  private int delay() {
    return 1 + random.nextInt(8);
  }

  void later(long afterMillis, Runnable run) {
    tasks.add(new Task(nowMillis + afterMillis, order++, run));
  }
}
