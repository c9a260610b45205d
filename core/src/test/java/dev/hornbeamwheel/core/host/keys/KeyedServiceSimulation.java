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
  private static final int[] SAMPLED_KEYS =
      IntStream.range(0, 64).map(i -> i * 1_024 + 17).toArray();

  /** Least time after which an order without an answer is carried out late. */
  private static final int MIN_LATE_EXECUTION_MILLIS = 2_000;

  /** How much later still it may be carried out. */
  private static final int LATE_EXECUTION_SPREAD_MILLIS = 10_000;

  /** Longest time for which the coordinator's process does nothing. */
  private static final int MAX_PAUSE_MILLIS = 1_500;

  private record Task(long atMillis, long sequence, Runnable run) {}

  private record SentGrant(KeyRange range, UpstreamId upstream, long fencingToken) {}

  final Random random;
  final Catalog catalog = Catalog.empty();
  final Map<Address, FakeUpstream> byAddress = new HashMap<>();
  final List<FakeUpstream> upstreams = new ArrayList<>();
  final KeyDemand demand = KeyDemand.empty();
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(
          Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::sequence));
  private Optional<KeyTable> row = Optional.empty();
  private long version;
  private long nextTaskSequence;
  private long term;
  private int incarnations;
  private final Set<DataCentreId> requestsBlocked = new HashSet<>();
  private final Set<DataCentreId> responsesBlocked = new HashSet<>();
  private final Set<SentGrant> sentGrants = new HashSet<>();
  private final Map<Long, Long> pausedUntilMillis = new HashMap<>();
  private KeyedService service;
  long nowMillis;
  double lossRate;

  /** How late a busy coordinator resets calls at most; until then they may arrive. */
  int maxResetDelayMillis;

  /** Part of the orders that get no answer and are carried out seconds later. */
  double lateExecutionRate;

  /** How often the coordinator's process falls asleep after a decision, per step. */
  double pauseRate;

  /** Part of the orders that need a connection of their own. */
  double newConnectionRate;

  /** Whether an upstream refuses what is meant for another one, as the platform's do. */
  boolean upstreamsCheckIds;

  /** Whether each grant had a greater fence than all grants of its keys to others before. */
  boolean fencingTokensIncrease = true;

  boolean storeUnavailable;
  int moves;

  /** What an upstream can do, for the planner. */
  Capacity capacity = entry -> 10;

  /** How long the work on keys that are released still runs, in milliseconds. */
  ToLongFunction<KeyEffect.Release> remainingWorkMillis = release -> 0;

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
    startTerm();
  }

  /** Lets time pass in which no coordinator acts; returns as {@link #run} does. */
  private int runWithoutCoordinator(long millis) {
    int most = 0;
    for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
      runDueTasks();
      most = Math.max(most, maxHoldersPerKey());
    }
    return most;
  }

  private void runDueTasks() {
    while (!tasks.isEmpty() && tasks.peek().atMillis() <= nowMillis) {
      tasks.poll().run().run();
    }
  }

  /** Starts an upstream, or starts it again under another id at the same address. */
  FakeUpstream startUpstream(int place) {
    Address address = new Address("10.1.0." + place, 80);
    UpstreamRegistration entry =
        new UpstreamRegistration(
            new UpstreamIncarnation(
                UpstreamId.of("i-" + place + "-" + incarnations++), 1_000 + nowMillis),
            SERVICE,
            address,
            DataCentreId.of("dc-" + place % 3),
            2,
            false,
            0);
    FakeUpstream holder = new FakeUpstream(entry);
    FakeUpstream before = byAddress.put(address, holder);
    if (before != null) {
      before.up = false;
      catalog.removeUpstream(nowMillis, before.registration.id());
    }
    upstreams.add(holder);
    catalog.putUpstream(entry);
    return holder;
  }

  void drain(FakeUpstream holder) {
    UpstreamRegistration entry = holder.registration;
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
  void restartAllHosts(long millis) {
    term++;
    runWithoutCoordinator(millis);
    startTerm();
  }

  /** Returns how many probed keys have a holder, by the coordinator, that does not hold them. */
  long staleHolders() {
    return IntStream.of(SAMPLED_KEYS)
        .filter(key -> service.holder(nowMillis, key).isPresent())
        .filter(key -> upstreams.stream().noneMatch(holder -> holder.holds(nowMillis, key)))
        .count();
  }

  /** The coordinator is lost; when its lease and its last calls have ended, a term starts. */
  int replaceCoordinator() {
    if (newConnectionRate > 0) {
      pausedUntilMillis.put(term, nowMillis + random.nextInt(MAX_PAUSE_MILLIS));
    }
    term++;
    int most = runWithoutCoordinator(LEASE_MARGIN_MILLIS);
    startTerm();
    return most;
  }

  private void startTerm() {
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
      runDueTasks();
      beforeStep.run();
      tickCoordinator();
      most = Math.max(most, maxHoldersPerKey());
    }
    return most;
  }

  private void tickCoordinator() {
    if (nowMillis < pausedUntilMillis.getOrDefault(term, 0L)) {
      return;
    }
    List<KeyEffect> effects = service.tick(nowMillis, storeUnavailable);
    if (pauseRate > 0 && random.nextDouble() < pauseRate) {
      // What was decided waits in the process.
      long decidedIn = term;
      int asleep = random.nextInt(MAX_PAUSE_MILLIS);
      pausedUntilMillis.put(term, nowMillis + asleep);
      schedule(asleep, () -> perform(decidedIn, effects));
    } else {
      perform(term, effects);
    }
  }

  /** Cuts a data centre off from the coordinator, in one direction or both. */
  void partitionDataCentre(DataCentreId dataCentre, boolean towards, boolean back) {
    if (towards) {
      requestsBlocked.add(dataCentre);
    }
    if (back) {
      responsesBlocked.add(dataCentre);
    }
  }

  void reconnectDataCentre(DataCentreId dataCentre) {
    requestsBlocked.remove(dataCentre);
    responsesBlocked.remove(dataCentre);
  }

  /** The registrations of a data centre lapse, as its upstreams do not reach the store. */
  void expireRegistrations(DataCentreId dataCentre) {
    runningUpstreams(dataCentre).forEach(entry -> catalog.removeUpstream(nowMillis, entry.id()));
    service.upstreamsChanged();
  }

  /** The registrations of those that are up come back. */
  void restoreRegistrations(DataCentreId dataCentre) {
    runningUpstreams(dataCentre)
        .filter(entry -> catalog.upstream(entry.id()).isEmpty())
        .forEach(catalog::putUpstream);
    service.upstreamsChanged();
  }

  private Stream<UpstreamRegistration> runningUpstreams(DataCentreId dataCentre) {
    return byAddress.values().stream()
        .filter(holder -> holder.up)
        .map(holder -> holder.registration)
        .filter(entry -> entry.dataCentre().equals(dataCentre));
  }

  private void checkFencingToken(KeyEffect.Grant grant) {
    boolean risen =
        sentGrants.stream()
            .filter(sent -> !sent.upstream().equals(grant.upstream()))
            .filter(
                sent ->
                    sent.range().first() <= grant.range().last()
                        && grant.range().first() <= sent.range().last())
            .allMatch(sent -> sent.fencingToken() < grant.fencingToken());
    fencingTokensIncrease &= risen;
    sentGrants.add(new SentGrant(grant.range(), grant.upstream(), grant.fencingToken()));
  }

  /** Returns the part of the probed keys that an upstream holds. */
  double heldFraction() {
    long held =
        IntStream.of(SAMPLED_KEYS)
            .filter(key -> upstreams.stream().anyMatch(holder -> holder.holds(nowMillis, key)))
            .count();
    return held / (double) SAMPLED_KEYS.length;
  }

  private int maxHoldersPerKey() {
    IntStream edges = service.assignments().stream().mapToInt(owned -> owned.range().first());
    return IntStream.concat(IntStream.of(SAMPLED_KEYS), edges)
        .map(key -> (int) upstreams.stream().filter(holder -> holder.holds(nowMillis, key)).count())
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
        ifCurrentTerm(sentTerm, () -> service.orderEnded(nowMillis, grant.orderId(), notSent));
      } else if (effect instanceof KeyEffect.Grant grant) {
        checkFencingToken(grant);
        nextTaskSequence(
            sentTerm,
            grant.orderId(),
            grant.upstream(),
            grant.address(),
            700,
            0,
            (holder, arrived) -> holder.grant(nowMillis, arrived, grant));
      } else if (effect instanceof KeyEffect.Release release) {
        nextTaskSequence(
            sentTerm,
            release.orderId(),
            release.upstream(),
            release.address(),
            3_000,
            remainingWorkMillis.applyAsLong(release),
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
        storeUnavailable
            ? new TableReadResult.Failed()
            : new TableReadResult.Found(found, foundVersion);
    schedule(
        networkDelayMillis(),
        () -> ifCurrentTerm(sentTerm, () -> service.tableRead(nowMillis, result)));
  }

  private void write(long sentTerm, KeyEffect.WriteTable write) {
    boolean lost = random.nextDouble() < lossRate;
    schedule(
        networkDelayMillis(),
        () -> {
          TableWriteResult result = apply(write);
          TableWriteResult told = lost ? new TableWriteResult.Unconfirmed() : result;
          schedule(
              networkDelayMillis(),
              () -> ifCurrentTerm(sentTerm, () -> service.tableWritten(nowMillis, told)));
        });
  }

  private TableWriteResult apply(KeyEffect.WriteTable write) {
    if (storeUnavailable) {
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
    OrderResult execute(FakeUpstream holder, long arrivedMillis);
  }

  /** A call whose bytes may still arrive until the coordinator resets it. */
  private static final class Call {
    private final long term;
    private final long orderId;
    private final DataCentreId dataCentre;
    private final long timeoutAtMillis;
    private boolean ended;

    private Call(long term, long number, DataCentreId dataCentre, long timeOutMillis) {
      this.timeoutAtMillis = timeOutMillis;
      this.term = term;
      this.orderId = number;
      this.dataCentre = dataCentre;
    }
  }

  private void nextTaskSequence(
      long sentTerm,
      long number,
      UpstreamId meant,
      Address address,
      int timeout,
      long extraDelay,
      Order order) {
    Call call =
        new Call(
            sentTerm,
            number,
            byAddress.get(address).registration.dataCentre(),
            nowMillis + timeout);
    boolean lost = random.nextDouble() < lossRate;
    int reset = timeout + (maxResetDelayMillis == 0 ? 0 : random.nextInt(maxResetDelayMillis));
    schedule(reset, () -> endCall(call, new OrderResult.Unanswered("no answer")));
    int arrival = lost && maxResetDelayMillis > 0 ? random.nextInt(reset) : networkDelayMillis();
    boolean connects = newConnectionRate > 0 && random.nextDouble() < newConnectionRate;
    schedule(
        arrival,
        () ->
            sendWhenAwake(
                call,
                connects,
                () -> {
                  FakeUpstream holder = byAddress.get(address);
                  if (!holder.up || holder.unreachable) {
                    return;
                  }
                  boolean misdirected =
                      upstreamsCheckIds && !holder.registration.id().equals(meant);
                  Optional<OrderResult> result =
                      misdirected
                          ? Optional.of(new OrderResult.Misdirected())
                          : execute(holder, order);
                  result
                      .filter(told -> !lost)
                      .ifPresent(
                          told ->
                              schedule(
                                  networkDelayMillis() + extraDelay,
                                  () -> deliverAnswer(call, told)));
                }));
  }

  /** Sends an order; one that needs a connection leaves when the process notices that it stands. */
  private void sendWhenAwake(Call call, boolean connects, Runnable carryOut) {
    long wakes = pausedUntilMillis.getOrDefault(call.term, 0L);
    if (connects && nowMillis < wakes) {
      schedule(wakes - nowMillis, () -> sendWhenAwake(call, true, carryOut));
    } else if (!connects || nowMillis <= call.timeoutAtMillis) {
      deliver(call, carryOut);
    }
  }

  /** Lets an order arrive, after a cut if its call lasts so long; a reset call arrives no more. */
  private void deliver(Call call, Runnable carryOut) {
    if (call.ended) {
      return;
    }
    if (requestsBlocked.contains(call.dataCentre)) {
      schedule(STEP_MILLIS, () -> deliver(call, carryOut));
    } else {
      carryOut.run();
    }
  }

  private void deliverAnswer(Call call, OrderResult result) {
    if (call.ended) {
      return;
    }
    if (responsesBlocked.contains(call.dataCentre)) {
      schedule(STEP_MILLIS, () -> deliverAnswer(call, result));
    } else {
      endCall(call, result);
    }
  }

  private void endCall(Call call, OrderResult result) {
    if (call.ended) {
      return;
    }
    long wakes = pausedUntilMillis.getOrDefault(call.term, 0L);
    if (nowMillis < wakes) {
      schedule(wakes - nowMillis, () -> endCall(call, result));
    } else {
      call.ended = true;
      ifCurrentTerm(call.term, () -> service.orderEnded(nowMillis, call.orderId, result));
    }
  }

  /** Carries an order out now, or late and without an answer. */
  private Optional<OrderResult> execute(FakeUpstream holder, Order order) {
    if (holder.refusing) {
      return Optional.of(new OrderResult.Refused(503));
    }
    long arrived = nowMillis;
    if (lateExecutionRate > 0 && random.nextDouble() < lateExecutionRate) {
      schedule(
          MIN_LATE_EXECUTION_MILLIS + random.nextInt(LATE_EXECUTION_SPREAD_MILLIS),
          () -> order.execute(holder, arrived));
      return Optional.empty();
    }
    return Optional.of(order.execute(holder, arrived));
  }

  private interface CoordinatorEvent {
    List<KeyEffect> handle();
  }

  private void ifCurrentTerm(long sentTerm, CoordinatorEvent step) {
    if (sentTerm == term) {
      perform(sentTerm, step.handle());
    }
  }

  private int networkDelayMillis() {
    return 1 + random.nextInt(8);
  }

  void schedule(long afterMillis, Runnable run) {
    tasks.add(new Task(nowMillis + afterMillis, nextTaskSequence++, run));
  }
}
