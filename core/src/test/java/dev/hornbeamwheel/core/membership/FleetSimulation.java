package dev.hornbeamwheel.core.membership;

import dev.hornbeamwheel.core.config.ConfigEffect;
import dev.hornbeamwheel.core.config.ConfigEvent;
import dev.hornbeamwheel.core.config.ConfigReducer;
import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.virtual.DriftingClock;
import dev.hornbeamwheel.core.virtual.VirtualNetwork;
import dev.hornbeamwheel.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Members with gossip and configuration over a fake network and a fake table. */
public final class FleetSimulation {
  static final String PLATFORM = "platform";
  private static final long TICK_MILLIS = 100;
  private static final ItemKey CONFIGURATION = ItemKey.of(Topic.CONFIGURATION, "configuration");

  final VirtualTime time = new VirtualTime();
  final VirtualNetwork network;
  final List<Host> processes = new ArrayList<>();
  final List<String> violations = new ArrayList<>();
  long storedVersion;
  private final Random random;
  private final Function<MemberId, ConfigReducer> configs;
  private final Refutation refutation;

  /** Returns a fleet at its cold start. */
  public FleetSimulation(
      int dataCentres, int hosts, long seed, Function<MemberId, ConfigReducer> configs) {
    this(dataCentres, hosts, seed, configs, Refutation.ALWAYS);
  }

  FleetSimulation(
      int dataCentres,
      int hosts,
      long seed,
      Function<MemberId, ConfigReducer> configs,
      Refutation refutation) {
    this.random = new Random(seed);
    this.network = new VirtualNetwork(time, seed);
    this.configs = configs;
    this.refutation = refutation;
    IntStream.range(0, dataCentres * hosts)
        .forEach(i -> processes.add(new Host("m" + i, "dc" + i % dataCentres)));
    processes.forEach(Host::start);
  }

  /** Lets virtual time pass. */
  public void advance(long millis) {
    time.advance(millis);
  }

  /** Returns the process with an index, which wraps around. */
  public Host process(int index) {
    return processes.get(index % processes.size());
  }

  /** Writes the next version of the configuration to the table. */
  public void storeNextVersion() {
    storedVersion++;
  }

  /** Doubles and delays many messages, so that they arrive out of order. */
  public void reorder() {
    network.setFaults(0, 50, 400);
  }

  /** Ends all faults. */
  public void heal() {
    network.heal();
    processes.forEach(process -> process.pausedUntilMillis = 0);
    processes.stream().filter(process -> !process.running).forEach(Host::start);
  }

  /** Cuts a place off from all others, or from one, in one or both directions. */
  public void cut(String from, String to, boolean bothWays) {
    network.cut(from, to);
    if (bothWays) {
      network.cut(to, from);
    }
  }

  /** Cuts a data centre off from the other ones. */
  public void isolate(String dataCentre) {
    processes.stream()
        .map(process -> process.dataCentre)
        .distinct()
        .filter(other -> !other.equals(dataCentre))
        .forEach(other -> cut(dataCentre, other, true));
  }

  /** Returns the violations seen so far. */
  public List<String> violations() {
    return violations;
  }

  /** Returns names of processes that run with another version than the table holds. */
  public List<String> outdated() {
    return processes.stream()
        .filter(process -> process.running && process.inForce != storedVersion)
        .map(process -> process.id + " at " + process.inForce)
        .toList();
  }

  /** Returns differences between what processes believe and what is. */
  public List<String> disagreements() {
    return processes.stream()
        .filter(process -> process.running)
        .flatMap(process -> processes.stream().flatMap(other -> disagreement(process, other)))
        .toList();
  }

  private static Stream<String> disagreement(Host viewer, Host other) {
    Optional<Member> member = viewer.membership.member(other.id);
    boolean seen =
        member
            .filter(m -> m.state().present())
            .filter(m -> m.incarnation().equals(other.incarnation))
            .isPresent();
    return seen == other.running
        ? Stream.empty()
        : Stream.of(viewer.id + " sees " + other.id + " as " + member.map(Member::state));
  }

  /** One member. */
  public final class Host {
    final MemberId id;
    final String dataCentre;
    final Set<String> places;
    private DriftingClock clock;
    private Incarnation incarnation;
    private MembershipReducer membership;
    private ConfigReducer config;
    private long pausedUntilMillis;
    private boolean running;
    private int starts;
    private long inForce;

    Host(String name, String dataCentre) {
      this.id = MemberId.of(name);
      this.dataCentre = dataCentre;
      this.places = Set.of(name, dataCentre, "members");
    }

    /** Starts the process anew; it remembers nothing. */
    public void start() {
      starts++;
      incarnation = Incarnation.of(random.nextLong());
      clock = new DriftingClock(time, random.nextInt(1_000_000), random.nextInt(21) - 10);
      Member self =
          new Member(
              id,
              incarnation,
              DataCentreId.of(dataCentre),
              Role.ROUTER,
              id.value(),
              MemberState.ALIVE);
      membership = MembershipReducer.withRefutation(self, random.nextLong(), refutation);
      config = configs.apply(id);
      inForce = 0;
      running = true;
      int start = starts;
      time.after(random.nextInt((int) TICK_MILLIS), () -> tick(start));
    }

    /** Stops the process without notice. */
    public void kill() {
      running = false;
    }

    /** Lets the process do nothing for a while; messages wait for it. */
    public void pause(long millis) {
      pausedUntilMillis = time.nowMillis() + millis;
    }

    /** Returns the version in force. */
    public long inForce() {
      return inForce;
    }

    private void tick(int start) {
      if (!running || starts != start) {
        return;
      }
      whenAwake(
          start,
          () -> {
            perform(membership.reduce(new GossipEvent.Tick(clock.millis())));
            performConfig(config.reduce(new ConfigEvent.Tick(clock.millis())));
            time.after(TICK_MILLIS, () -> tick(start));
          });
    }

    private void whenAwake(int start, Runnable task) {
      if (running && starts == start && time.nowMillis() >= pausedUntilMillis) {
        task.run();
      } else if (running && starts == start) {
        time.after(pausedUntilMillis - time.nowMillis(), () -> whenAwake(start, task));
      }
    }

    private void receive(Host from, Incarnation sender, GossipMessage message) {
      whenAwake(
          starts,
          () ->
              perform(
                  membership.reduce(
                      new GossipEvent.Received(clock.millis(), from.id, sender, message))));
    }

    private void perform(List<GossipEffect> effects) {
      effects.forEach(this::perform);
    }

    private void perform(GossipEffect effect) {
      if (effect instanceof GossipEffect.Send send) {
        Host to = processes.get(Integer.parseInt(send.to().value().substring(1)));
        Incarnation sender = incarnation;
        network.send(places, to.places, () -> to.receive(this, sender, send.message()));
      } else if (effect instanceof GossipEffect.PollHostList) {
        askPlatform(() -> new GossipEvent.HostListRead(clock.millis(), hostList()));
      } else if (effect instanceof GossipEffect.ItemsLearned learned) {
        learned.items().forEach(item -> learnConfiguration(item.version()));
      } else if (effect instanceof GossipEffect.MembersChanged) {
        List<MemberId> present =
            processes.stream()
                .filter(other -> other.dataCentre.equals(dataCentre))
                .map(other -> other.id)
                .filter(other -> other.equals(id) || present(other))
                .toList();
        performConfig(config.reduce(new ConfigEvent.PeersKnown(clock.millis(), present)));
      }
    }

    private boolean present(MemberId other) {
      return membership.member(other).filter(member -> member.state().present()).isPresent();
    }

    private void askPlatform(java.util.function.Supplier<GossipEvent> answer) {
      int start = starts;
      network.send(
          places,
          Set.of(PLATFORM),
          () ->
              network.send(
                  Set.of(PLATFORM),
                  places,
                  () -> whenAwake(start, () -> perform(membership.reduce(answer.get())))));
    }

    private List<Seed> hostList() {
      return processes.stream()
          .map(other -> new Seed(other.id, DataCentreId.of(other.dataCentre), other.id.value()))
          .toList();
    }

    private void learnConfiguration(long version) {
      performConfig(
          config.reduce(
              new ConfigEvent.ConfigurationLearned(clock.millis(), configuration(version))));
    }

    private Configuration configuration(long version) {
      return new Configuration(version, Declarations.empty());
    }

    private void performConfig(List<ConfigEffect> effects) {
      effects.forEach(this::performConfig);
    }

    private void performConfig(ConfigEffect effect) {
      if (effect instanceof ConfigEffect.PollConfigurationRow) {
        int start = starts;
        network.send(places, Set.of(PLATFORM), () -> answerPoll(start, storedVersion));
      } else if (effect instanceof ConfigEffect.InForce force) {
        long version = force.configuration().version();
        if (version <= inForce) {
          violations.add(id + " went from version " + inForce + " to " + version);
        }
        inForce = version;
      } else if (effect instanceof ConfigEffect.Publish publish) {
        long version = publish.configuration().version();
        Item item = Item.of(CONFIGURATION, version, Content.ofText("version " + version));
        perform(membership.reduce(new GossipEvent.LocalChange(clock.millis(), item)));
      }
    }

    private void answerPoll(int start, long version) {
      network.send(
          Set.of(PLATFORM),
          places,
          () ->
              whenAwake(
                  start,
                  () ->
                      performConfig(
                          config.reduce(
                              new ConfigEvent.ConfigurationRead(
                                  clock.millis(), configuration(version))))));
    }
  }
}
