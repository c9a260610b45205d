package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.CallerLimits;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.lease.HostCapacity;
import dev.hornbeamwheel.core.host.lease.LeaseEffect;
import dev.hornbeamwheel.core.host.lease.LeaseRead;
import dev.hornbeamwheel.core.host.lease.LeaseRow;
import dev.hornbeamwheel.core.host.lease.LeaseWrite;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/** Entry hosts, their connections and the lease row in the store, in virtual time. */
final class HostWorld {
  private static final int STEP_MILLIS = 25;
  private static final long CONNECT_FAILED_MILLIS = 400;
  private static final long MESSAGE_MILLIS = 3;

  private record Task(long atMillis, long order, Runnable run) {}

  /** A connection to a coordinator. */
  private record Link(LinkId id, Host from, Host to, long term) {}

  /** One host. */
  final class Host {
    private final int index;
    private final HostCapacity capacity;
    private final HostNode node;
    private final Map<LinkId, Link> links = new HashMap<>();
    private Optional<Link> coordinator = Optional.empty();
    private boolean lost;

    private Host(int index, HostCapacity capacity, long seed) {
      this.index = index;
      this.capacity = capacity;
      this.node =
          HostNode.create(
              new HostIdentity(
                  HostId.of("host-" + index),
                  DataCentreId.of("vannes"),
                  address(index),
                  capacity,
                  10_000,
                  seed + index));
    }

    private void reduce(HostEvent event) {
      if (!lost) {
        node.reduce(event).forEach(effect -> perform(this, effect));
      }
    }

    boolean coordinates() {
      return !lost && node.coordinating();
    }
  }

  private final Random random;
  private final long seed;
  private final List<Host> hosts = new ArrayList<>();
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::order));
  private Optional<LeaseRow> row = Optional.empty();
  private long version;
  private long order;
  private long nextLink = 1;
  private long nowMillis;
  private boolean strongMayWrite = true;

  /** Number of terms that began. */
  int wins;

  HostWorld(long seed) {
    this.seed = seed;
    this.random = new Random(seed);
  }

  private static Address address(int index) {
    return new Address("10.0.0." + index, 80);
  }

  /** Starts a host. */
  Host start(int capacity) {
    Host host = new Host(hosts.size() + 1, new HostCapacity(capacity), seed);
    hosts.add(host);
    host.reduce(
        new HostEvent.ConfigurationRead(
            nowMillis,
            FleetConfiguration.of(1, List.of(), List.of(), new CallerLimits(1, 1, 1, 1))));
    host.reduce(new HostEvent.UpstreamsRead(nowMillis, List.of()));
    host.reduce(new HostEvent.EvacuationsRead(nowMillis, Set.of()));
    return host;
  }

  void run(long millis) {
    for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
      while (!tasks.isEmpty() && tasks.peek().atMillis() <= nowMillis) {
        tasks.poll().run().run();
      }
      List.copyOf(hosts).forEach(host -> host.reduce(new HostEvent.Tick(nowMillis)));
    }
  }

  /** Runs until one host coordinates and all others are connected to it; returns the time. */
  long runUntilJoined(long limitMillis) {
    long start = nowMillis;
    while (!joined() && nowMillis - start < limitMillis) {
      run(STEP_MILLIS);
    }
    return nowMillis - start;
  }

  private boolean joined() {
    List<Host> alive = hosts.stream().filter(host -> !host.lost).toList();
    List<Host> leaders = alive.stream().filter(Host::coordinates).toList();
    return leaders.size() == 1
        && alive.stream()
            .filter(host -> host != leaders.get(0))
            .allMatch(
                host ->
                    host.coordinator.filter(link -> link.to() == leaders.get(0)).isPresent()
                        && leaders.get(0).links.containsValue(host.coordinator.get()));
  }

  /** Returns the host that coordinates. */
  Host leader() {
    return hosts.stream().filter(Host::coordinates).findFirst().orElseThrow();
  }

  int leaderCapacity() {
    return leader().capacity.points();
  }

  /** Ends the processes of all hosts with at least a capacity. */
  void loseStrong(int capacity) {
    hosts.stream().filter(host -> host.capacity.points() >= capacity).toList().forEach(this::lose);
  }

  /** Ends the process of a host at once. */
  void lose(Host host) {
    host.lost = true;
    host.coordinator.ifPresent(this::close);
    List.copyOf(host.links.values()).forEach(this::close);
  }

  /** Makes the store refuse the writes of hosts with at least a capacity of 1,000. */
  void refuseWritesOfStrong() {
    strongMayWrite = false;
  }

  private void perform(Host host, HostEffect effect) {
    if (effect instanceof HostEffect.Lease lease) {
      performLease(host, lease.effect());
    } else if (effect instanceof HostEffect.Connect connect) {
      connect(host, connect);
    } else if (effect instanceof HostEffect.Disconnect) {
      host.coordinator.ifPresent(this::close);
    } else if (effect instanceof HostEffect.DisconnectHosts) {
      List.copyOf(host.links.values()).forEach(this::close);
    } else if (effect instanceof HostEffect.SendToCoordinator say) {
      host.coordinator.ifPresent(
          link ->
              later(
                  MESSAGE_MILLIS,
                  () -> {
                    if (link.to().links.containsValue(link)) {
                      link.to()
                          .reduce(
                              new HostEvent.HostMessageReceived(
                                  nowMillis, link.id(), say.message()));
                    }
                  }));
    } else if (effect instanceof HostEffect.SendToHost tell) {
      tell(host.links.get(tell.link()), tell.message());
    } else if (effect instanceof HostEffect.Log line && line.entry().event().equals("lease-won")) {
      wins++;
    }
  }

  private void tell(Link link, HostMessage message) {
    if (link != null) {
      later(
          MESSAGE_MILLIS,
          () -> {
            if (link.from().coordinator.filter(link::equals).isPresent()) {
              link.from()
                  .reduce(
                      new HostEvent.CoordinatorMessageReceived(nowMillis, link.term(), message));
            }
          });
    }
  }

  private void connect(Host from, HostEffect.Connect connect) {
    Host to =
        hosts.stream()
            .filter(host -> address(host.index).equals(connect.address()))
            .findFirst()
            .orElseThrow();
    Link link = new Link(new LinkId(nextLink++), from, to, connect.term());
    from.coordinator = Optional.of(link);
    later(
        to.lost ? CONNECT_FAILED_MILLIS : 2 * MESSAGE_MILLIS,
        () -> {
          if (from.coordinator.filter(link::equals).isEmpty()) {
            return;
          }
          if (to.lost) {
            close(link);
          } else {
            to.links.put(link.id(), link);
            from.reduce(new HostEvent.CoordinatorConnected(nowMillis, link.term()));
          }
        });
  }

  private void close(Link link) {
    if (link.from().coordinator.filter(link::equals).isPresent()) {
      link.from().coordinator = Optional.empty();
      later(
          MESSAGE_MILLIS,
          () -> link.from().reduce(new HostEvent.CoordinatorDisconnected(nowMillis, link.term())));
    }
    if (link.to().links.remove(link.id()) != null) {
      later(
          MESSAGE_MILLIS,
          () -> link.to().reduce(new HostEvent.HostDisconnected(nowMillis, link.id())));
    }
  }

  private void performLease(Host host, LeaseEffect effect) {
    boolean refused = !strongMayWrite && host.capacity.points() >= 1_000;
    if (effect instanceof LeaseEffect.Read) {
      later(
          storeMillis(),
          () -> {
            Optional<LeaseRead> read = Optional.of(new LeaseRead(row, version, nowMillis));
            later(storeMillis(), () -> host.reduce(new HostEvent.LeaseReadEnded(nowMillis, read)));
          });
    } else if (effect instanceof LeaseEffect.Write write) {
      later(
          storeMillis(),
          () -> {
            LeaseWrite result = refused ? new LeaseWrite.NotDone() : apply(write);
            later(
                storeMillis(), () -> host.reduce(new HostEvent.LeaseWriteEnded(nowMillis, result)));
          });
    }
  }

  private LeaseWrite apply(LeaseEffect.Write write) {
    if (write.expectedVersion() != version) {
      return new LeaseWrite.Conflict();
    }
    row = Optional.of(write.row());
    version++;
    return new LeaseWrite.Written(version, nowMillis);
  }

  private long storeMillis() {
    return 2L + random.nextInt(6);
  }

  private void later(long afterMillis, Runnable run) {
    tasks.add(new Task(nowMillis + afterMillis, order++, run));
  }
}
