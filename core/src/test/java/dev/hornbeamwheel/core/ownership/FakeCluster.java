package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongFunction;
import java.util.stream.Collectors;

/** A cluster of controllers, upstreams and a table in virtual time, with fault injection. */
final class FakeCluster {
  static final String PLATFORM = "platform";

  private final Random random;
  private final SkippedStep skipped;
  private final OwnershipOptions options = OwnershipOptions.standard();
  private final VirtualTime time = new VirtualTime();
  private final Map<String, FakeMember> members = new TreeMap<>();
  private final Map<UpstreamId, FakeUpstream> upstreams = new TreeMap<>();
  private final Map<String, DataCentreId> dataCentres = new HashMap<>();
  private final Set<String> stoppedNodes = new TreeSet<>();
  private final Set<String> cutLinks = new HashSet<>();
  private final Set<Voter> decommissioned = new HashSet<>();
  private final Map<String, List<Runnable>> frozenUpstreams = new HashMap<>();
  private final FakeTable table = new FakeTable();
  private final InvariantChecker invariants = new InvariantChecker(this);
  private final Map<Long, Configuration> configurationVersions = new TreeMap<>();
  private Configuration configuration = Configuration.initial();
  private long incarnations;
  private boolean tableDown;
  private boolean tableSlow;
  private boolean tableLosesAnswers;
  private boolean lossy;
  private int tableWrites;

  FakeCluster(long seed, SkippedStep skippedStep) {
    this.random = new Random(seed);
    this.skipped = skippedStep;
  }

  long now() {
    return time.nowMillis();
  }

  InvariantChecker invariants() {
    return invariants;
  }

  Map<String, FakeMember> members() {
    return members;
  }

  Map<UpstreamId, FakeUpstream> upstreams() {
    return upstreams;
  }

  FakeTable table() {
    return table;
  }

  int tableWrites() {
    return tableWrites;
  }

  Declarations declarations() {
    return configuration.declarations();
  }

  /** Starts a controller, or restarts it with another incarnation. */
  void start(String name, DataCentreId dataCentre) {
    Voter id = new Voter(MemberId.of(name), Incarnation.of(++incarnations));
    FakeClock clock = new FakeClock(random.nextInt(100_000), 0.99 + random.nextInt(201) / 10_000.0);
    ControllerContext context =
        new ControllerContext(
            id, dataCentre, options, new SpreadPolicy(), cell -> List.of(), incarnations, skipped);
    FakeMember member = new FakeMember(id, dataCentre, OwnershipReducer.create(context), clock);
    members.put(name, member);
    dataCentres.put(name, dataCentre);
    stoppedNodes.remove(name);
    tick(member, random.nextInt(50));
  }

  private void tick(FakeMember member, long delay) {
    schedule(
        delay,
        () -> {
          if (members.get(member.id.member().value()) == member) {
            if (!member.paused) {
              deliver(member, new OwnershipEvent.Tick(localTime(member)));
            }
            tick(member, options.tickMillis());
          }
        });
  }

  void add(Upstream upstream, Service service) {
    FakeClock clock = new FakeClock(random.nextInt(100_000), 0.99 + random.nextInt(201) / 10_000.0);
    upstreams.put(
        upstream.id(),
        new FakeUpstream(upstream.id(), service.fencing(), clock, random.nextInt(40)));
    dataCentres.put(upstream.id().value(), upstream.dataCentre());
  }

  /** Applies declarations; each member learns of them from its peers or the platform. */
  void apply(Declarations declarations) {
    configuration = new Configuration(configuration.version() + 1, declarations);
    configurationVersions.put(configuration.version(), configuration);
    invariants.onConfigured();
  }

  /** Starts the membership updates, the configuration relay and the periodic invariant checks. */
  void startBackgroundTasks() {
    time.every(200, this::relayConfiguration);
    time.every(200, this::refreshMembership);
    time.every(10, invariants::observe);
  }

  private void relayConfiguration() {
    Map<FakeMember, Long> reached = new HashMap<>();
    for (FakeMember member : running()) {
      long version = linked(PLATFORM, name(member)) && !tableDown ? configuration.version() : 0;
      for (FakeMember peer : running()) {
        version =
            linked(name(peer), name(member)) ? Math.max(version, peer.configVersion) : version;
      }
      reached.put(member, version);
    }
    for (FakeMember member : running()) {
      long version = reached.get(member);
      if (version > member.configVersion) {
        member.configVersion = version;
        deliver(
            member,
            new OwnershipEvent.ConfigurationChanged(
                localTime(member), configurationVersions.get(version)));
      }
    }
  }

  private void refreshMembership() {
    for (FakeMember member : running()) {
      Map<DataCentreId, List<Voter>> seen =
          running().stream()
              .filter(peer -> linked(name(peer), name(member)))
              .filter(peer -> linked(name(member), name(peer)))
              .collect(
                  Collectors.groupingBy(
                      peer -> peer.dataCentre,
                      TreeMap::new,
                      Collectors.mapping(peer -> peer.id, Collectors.toList())));
      if (!seen.equals(member.view)) {
        member.view = seen;
        scheduleEvent(
            member,
            100,
            local -> new OwnershipEvent.MembersChanged(local, seen, Set.copyOf(decommissioned)));
      }
    }
  }

  private List<FakeMember> running() {
    return members.values().stream()
        .filter(member -> !member.paused && !stoppedNodes.contains(name(member)))
        .toList();
  }

  static String name(FakeMember member) {
    return member.id.member().value();
  }

  private long localTime(FakeMember member) {
    return member.clock.read(now());
  }

  private boolean linked(String from, String to) {
    return !cutLinks.contains(from + ">" + to);
  }

  void schedule(long delay, Runnable action) {
    time.after(delay, action);
  }

  /** Advances virtual time and runs the actions that are due. */
  void run(long millis) {
    time.advance(millis);
  }

  private void scheduleEvent(FakeMember member, long delay, LongFunction<OwnershipEvent> event) {
    schedule(delay, () -> whenRunning(member, event));
  }

  private void whenRunning(FakeMember member, LongFunction<OwnershipEvent> event) {
    if (member.paused) {
      member.pausedDeliveries.add(unused -> deliver(member, event.apply(localTime(member))));
    } else {
      deliver(member, event.apply(localTime(member)));
    }
  }

  private void deliver(FakeMember member, OwnershipEvent event) {
    if (members.get(name(member)) == member && !stoppedNodes.contains(name(member))) {
      member.reducer.reduce(event).forEach(effect -> perform(member, effect));
    }
  }

  private void perform(FakeMember member, OwnershipEffect effect) {
    if (effect instanceof OwnershipEffect.SendMessage send) {
      String to = send.to().value();
      transmit(
          name(member),
          to,
          () -> {
            FakeMember receiver = members.get(to);
            if (receiver != null) {
              whenRunning(
                  receiver,
                  local ->
                      new OwnershipEvent.MessageReceived(
                          local, member.id.member(), member.id.incarnation(), send.message()));
            }
          });
    } else if (effect instanceof OwnershipEffect.SendOrder sent) {
      order(member, sent);
    } else if (effect instanceof OwnershipEffect.ReadRow read) {
      read(member, read);
    } else if (effect instanceof OwnershipEffect.WriteRow write) {
      write(member, write);
    } else if (effect instanceof OwnershipEffect.Log log) {
      trace(name(member) + " " + log.decision());
    } else if (effect instanceof OwnershipEffect.PublishRow published) {
      if (member.reducer.leads(published.row().cell(), localTime(member))) {
        invariants.onAcknowledged(published.row());
      }
      members.values().stream()
          .filter(peer -> peer != member)
          .forEach(peer -> gossip(member, peer, published.row()));
    }
  }

  /** Prints a trace line if the system property {@code trace} is {@code true}. */
  void trace(String text) {
    if (Boolean.getBoolean("trace")) {
      System.out.println(now() + " ms: " + text);
    }
  }

  private void gossip(FakeMember from, FakeMember to, CellRow row) {
    transmit(
        name(from),
        name(to),
        () -> whenRunning(to, local -> new OwnershipEvent.RowLearned(local, row)));
  }

  /** Sends a message over the network, which may drop, delay, duplicate or reorder it. */
  private void transmit(String from, String to, Runnable arrival) {
    if (!linked(from, to) || (lossy && random.nextInt(5) == 0)) {
      return;
    }
    long delay = dataCentres.get(from).equals(dataCentres.get(to)) ? 1 : 2;
    schedule(lossy && random.nextInt(8) == 0 ? random.nextInt(2500) : delay, arrival);
    if (lossy && random.nextInt(8) == 0) {
      schedule(random.nextInt(2500), arrival);
    }
  }

  private void order(FakeMember member, OwnershipEffect.SendOrder sent) {
    String to = sent.upstream().value();
    transmit(name(member), to, () -> whenUnfrozen(to, () -> handleOrder(member, sent)));
  }

  private void whenUnfrozen(String upstream, Runnable action) {
    if (frozenUpstreams.containsKey(upstream)) {
      frozenUpstreams.get(upstream).add(action);
    } else if (!stoppedNodes.contains(upstream)) {
      action.run();
    }
  }

  private void handleOrder(FakeMember member, OwnershipEffect.SendOrder sent) {
    UpstreamReply reply = upstreams.get(sent.upstream()).handle(sent.order(), now());
    if (sent.order() instanceof UpstreamOrder.Replace replace
        && reply.outcome() == UpstreamReply.Outcome.DONE) {
      invariants.onGranted(sent.upstream(), replace);
    }
    transmit(
        sent.upstream().value(),
        name(member),
        () ->
            whenRunning(
                member,
                local -> new OwnershipEvent.UpstreamReplied(local, sent.upstream(), reply)));
  }

  private void read(FakeMember member, OwnershipEffect.ReadRow read) {
    if (!reachable(member)) {
      scheduleEvent(
          member,
          50,
          local ->
              new OwnershipEvent.RowRead(
                  local, read.cell(), read.readId(), new RowReadResult.Unavailable()));
      return;
    }
    schedule(
        tableDelay(),
        () -> {
          RowReadResult result = table.read(read.cell());
          scheduleEvent(
              member,
              tableDelay(),
              local -> new OwnershipEvent.RowRead(local, read.cell(), read.readId(), result));
        });
  }

  private boolean reachable(FakeMember member) {
    return !tableDown && linked(name(member), PLATFORM) && linked(PLATFORM, name(member));
  }

  private long tableDelay() {
    return tableSlow ? random.nextInt(1200) : 2;
  }

  private void write(FakeMember member, OwnershipEffect.WriteRow write) {
    boolean takesEffect = !tableDown && linked(name(member), PLATFORM);
    boolean lost = tableLosesAnswers || !linked(PLATFORM, name(member));
    schedule(
        tableDelay(),
        () -> {
          RowWriteResult result =
              takesEffect
                  ? table.write(write.row(), write.expectedVersion())
                  : new RowWriteResult.Unavailable();
          tableWrites++;
          trace(name(member) + " wrote " + write.row() + " " + result);
          RowWriteResult told = lost && takesEffect ? new RowWriteResult.Unknown() : result;
          scheduleEvent(
              member,
              tableDelay(),
              local ->
                  new OwnershipEvent.RowWritten(
                      local, write.cell(), write.row().operationId(), told));
        });
  }

  /** Cuts or restores the one-way links from each node of one set to each node of another. */
  void setLinks(Set<String> from, Set<String> to, boolean up) {
    for (String a : from) {
      for (String b : to) {
        if (!a.equals(b)) {
          if (up) {
            cutLinks.remove(a + ">" + b);
          } else {
            cutLinks.add(a + ">" + b);
          }
        }
      }
    }
  }

  /** Returns all members and upstreams of a data centre, or of all data centres if it is null. */
  Set<String> nodes(DataCentreId dataCentre) {
    return dataCentres.entrySet().stream()
        .filter(entry -> dataCentre == null || entry.getValue().equals(dataCentre))
        .map(Map.Entry::getKey)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  void pause(String name, boolean paused) {
    FakeMember member = members.get(name);
    if (member == null) {
      return;
    }
    member.paused = paused;
    if (!paused) {
      List<java.util.function.Consumer<Long>> waiting = List.copyOf(member.pausedDeliveries);
      member.pausedDeliveries.clear();
      waiting.forEach(each -> each.accept(now()));
    }
  }

  /** Delivers a row to a controller as if by gossip. */
  void learn(String name, CellRow row) {
    FakeMember member = members.get(name);
    if (member != null) {
      whenRunning(member, local -> new OwnershipEvent.RowLearned(local, row));
    }
  }

  /** Stops a controller or an upstream at once. */
  void kill(String name) {
    stoppedNodes.add(name);
  }

  /** Marks a killed controller as permanently shut down. */
  void decommission(String name) {
    decommissioned.add(members.get(name).id);
    members.values().forEach(member -> member.view = Map.of());
  }

  void stopGracefully(String name) {
    FakeMember member = members.get(name);
    whenRunning(member, OwnershipEvent.StopRequested::new);
  }

  void reportLoad(Map<Slice, Double> load, Service service) {
    running()
        .forEach(
            m -> deliver(m, new OwnershipEvent.LoadReported(localTime(m), service.id(), load)));
  }

  void restartUpstream(String name) {
    stoppedNodes.remove(name);
    upstreams.get(UpstreamId.of(name)).restart();
  }

  void freeze(String upstream, boolean on) {
    if (on) {
      frozenUpstreams.putIfAbsent(upstream, new ArrayList<>());
    } else if (frozenUpstreams.containsKey(upstream)) {
      frozenUpstreams.remove(upstream).forEach(action -> whenUnfrozen(upstream, action));
    }
  }

  boolean serving(String upstream) {
    return !stoppedNodes.contains(upstream) && !frozenUpstreams.containsKey(upstream);
  }

  boolean stopped(String node) {
    return stoppedNodes.contains(node);
  }

  void tableDown(boolean on) {
    tableDown = on;
  }

  void tableSlow(boolean on) {
    tableSlow = on;
  }

  void tableLosesAnswers(boolean on) {
    tableLosesAnswers = on;
  }

  void lossy(boolean on) {
    lossy = on;
  }

  /** Returns the running member that leads a cell, or null if there is none. */
  FakeMember leaderOf(CellId cell) {
    return running().stream()
        .filter(member -> member.reducer.leads(cell, localTime(member)))
        .findFirst()
        .orElse(null);
  }
}
