package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.CallerLimits;
import dev.hornbeamwheel.core.host.catalog.CatalogTable;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.catalog.StoreVersion;
import dev.hornbeamwheel.core.host.catalog.TableChanges;
import dev.hornbeamwheel.core.host.catalog.TableSource;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.lease.HostCapacity;
import dev.hornbeamwheel.core.host.lease.LeaseEffect;
import dev.hornbeamwheel.core.host.lease.LeaseRead;
import dev.hornbeamwheel.core.host.lease.LeaseWrite;
import dev.hornbeamwheel.core.host.request.AttemptResult;
import dev.hornbeamwheel.core.host.request.CheckResult;
import dev.hornbeamwheel.core.host.request.RequestEffect;
import dev.hornbeamwheel.core.host.request.RequestHead;
import dev.hornbeamwheel.core.host.request.RequestRef;
import dev.hornbeamwheel.core.host.request.ShutdownSchedule;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.stream.Stream;

/** Simulates entry hosts, their connections and the lease row in the store, in virtual time. */
final class HostSimulation {
  /** Interval between ticks, in milliseconds. */
  static final int STEP_MILLIS = 25;

  private static final DataCentreId DEFAULT_DATA_CENTRE = DataCentreId.of("vannes");
  private static final int POLL_MILLIS = 500;
  private static final long CONNECT_TIMEOUT_MILLIS = 400;
  private static final long MESSAGE_DELAY_MILLIS = 3;

  private record Task(long atMillis, long order, Runnable run) {}

  /** A connection from a host to the coordinator of a term. */
  private record Link(LinkId id, Host from, Host to, long term) {}

  /** One simulated host. */
  final class Host {
    private final int index;
    private final HostCapacity capacity;
    private final DataCentreId dataCentre;
    private final HostNode node;
    private final Map<LinkId, Link> hostLinks = new HashMap<>();
    private Optional<Link> coordinatorLink = Optional.empty();
    private final List<LongFunction<HostEvent>> heldUpEvents = new ArrayList<>();
    private boolean crashed;
    private boolean frozen;

    private final Map<CatalogTable, TableSource> sources = new EnumMap<>(CatalogTable.class);

    /** The changes that the host took over from the coordinator. */
    final List<TableChanges> takenOver = new ArrayList<>();

    /** The effects of requests at this host. */
    final List<RequestEffect> requestEffects = new ArrayList<>();

    private Host(int index, HostCapacity capacity, DataCentreId dataCentre, long seed) {
      this.index = index;
      this.capacity = capacity;
      this.dataCentre = dataCentre;
      this.node =
          HostNode.create(
              new HostIdentity(
                  HostId.of("host-" + index),
                  dataCentre,
                  address(index),
                  capacity,
                  10_000,
                  seed + index));
    }

    /** Handles an event, which is created with the time at which the host handles it. */
    private void reduce(LongFunction<HostEvent> event) {
      if (frozen) {
        heldUpEvents.add(event);
      } else if (!crashed) {
        node.reduce(event.apply(nowMillis)).forEach(effect -> perform(this, effect));
      }
    }

    private void tick() {
      if (!frozen) {
        reduce(HostEvent.Tick::new);
      }
    }

    /** Suspends the process; what reaches it meanwhile waits. */
    void freeze() {
      frozen = true;
    }

    /** Continues the suspended process, which first handles all that waits. */
    void thaw() {
      frozen = false;
      List<LongFunction<HostEvent>> waiting = List.copyOf(heldUpEvents);
      heldUpEvents.clear();
      waiting.forEach(this::reduce);
    }

    /** Returns whether the host relies on the coordinator for changes of all tables. */
    boolean followsCoordinator() {
      return sources.size() == CatalogTable.values().length
          && sources.values().stream().allMatch(source -> source == TableSource.COORDINATOR);
    }

    /** Returns whether the host reads a table from the store for itself. */
    boolean readsStore(CatalogTable table) {
      return sources.get(table) == TableSource.STORE;
    }

    /** Reports that the host has read changes from the store. */
    void readFromStore(TableChanges changes) {
      reduce(now -> new HostEvent.TableChangesRead(now, changes));
    }

    /** Reports the arrival of a request. */
    void requestArrives(RequestRef ref, RequestHead head) {
      reduce(now -> new HostEvent.RequestArrived(now, ref, head));
    }

    /** Reports the stop signal. */
    void stops(ShutdownSchedule schedule) {
      reduce(now -> new HostEvent.Stopping(now, schedule));
    }

    /** Reports the end of an attempt for a request. */
    void attemptEnds(RequestRef ref, AttemptResult result) {
      reduce(now -> new HostEvent.AttemptEnded(now, ref, result));
    }

    /** Reports an operator's decision to allow a request again. */
    void quarantineLifted(long fingerprint) {
      reduce(now -> new HostEvent.QuarantineLifted(now, fingerprint));
    }

    boolean isCoordinator() {
      return !crashed && node.coordinating();
    }
  }

  private final Random random;
  private final long seed;
  private final List<Host> hosts = new ArrayList<>();
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::order));
  private FleetConfiguration configuration =
      FleetConfiguration.of(1, List.of(), List.of(), new CallerLimits(1, 1, 1, 1));
  private List<UpstreamRegistration> upstreams = List.of();
  private boolean servesKeys;
  private long nextTaskOrder;
  private long nextLinkId = 1;
  private long nowMillis;
  private boolean strongHostsMayWrite = true;

  /** Tables of which the store does not answer the coordinator's reads. */
  final Set<CatalogTable> unreadTables = EnumSet.noneOf(CatalogTable.class);

  /** Latest version of the store, which the coordinator's reads without changes return. */
  long storeVersion = 1;

  /** What hosts learn when they check whether an upstream runs. */
  Function<UpstreamIncarnation, CheckResult> checks = upstream -> CheckResult.REFUSED;

  /** Learns of each effect of a request when it occurs. */
  BiConsumer<Host, RequestEffect> onRequestEffect = (host, effect) -> {};

  /** The store; it responds to all hosts alike. */
  final SimulatedStore store = new SimulatedStore();

  /** Number of times that a host logged that it won the lease. */
  int leaseWins;

  HostSimulation(long seed) {
    this.seed = seed;
    this.random = new Random(seed);
  }

  private static Address address(int index) {
    return new Address("10.0.0." + index, 80);
  }

  /** Declares the configuration and the upstreams of the hosts that are started from now on. */
  void declare(FleetConfiguration declared, List<UpstreamRegistration> registrations) {
    configuration = declared;
    upstreams = registrations;
  }

  /** Makes upstreams carry out the orders for keys, and the store serve the key table. */
  void serveKeys() {
    servesKeys = true;
  }

  /** Removes the registration of an upstream. */
  void removeUpstream(UpstreamId id) {
    upstreams = upstreams.stream().filter(upstream -> !upstream.id().equals(id)).toList();
    hosts.forEach(host -> host.reduce(now -> new HostEvent.UpstreamRemoved(now, id)));
  }

  /** Adds the registration of an upstream. */
  void addUpstream(UpstreamRegistration upstream) {
    upstreams = Stream.concat(upstreams.stream(), Stream.of(upstream)).toList();
    hosts.forEach(host -> host.reduce(now -> new HostEvent.UpstreamChanged(now, upstream)));
  }

  /** Changes the registration of an upstream. */
  void changeUpstream(UpstreamRegistration changed) {
    upstreams =
        upstreams.stream()
            .map(upstream -> upstream.id().equals(changed.id()) ? changed : upstream)
            .toList();
    hosts.forEach(host -> host.reduce(now -> new HostEvent.UpstreamChanged(now, changed)));
  }

  /** Returns the current time, in milliseconds. */
  long nowMillis() {
    return nowMillis;
  }

  /** Returns the hosts that run. */
  List<Host> runningHosts() {
    return hosts.stream().filter(host -> !host.crashed).toList();
  }

  /** Starts a host with a capacity in points. */
  Host startHost(int capacity) {
    return startHost(capacity, DEFAULT_DATA_CENTRE);
  }

  /** Starts a host with a capacity in points in a data centre. */
  Host startHost(int capacity, DataCentreId dataCentre) {
    return start(new Host(hosts.size() + 1, new HostCapacity(capacity), dataCentre, seed));
  }

  /** Ends the process of a host without notice, and starts another in its place. */
  Host restart(Host ended) {
    crash(ended);
    hosts.remove(ended);
    return start(new Host(ended.index, ended.capacity, ended.dataCentre, random.nextLong()));
  }

  private Host start(Host host) {
    hosts.add(host);
    host.reduce(now -> new HostEvent.ConfigurationRead(now, configuration));
    host.reduce(now -> new HostEvent.UpstreamsRead(now, upstreams));
    host.reduce(now -> new HostEvent.EvacuationsRead(now, Set.of()));
    return host;
  }

  void run(long millis) {
    for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
      while (!tasks.isEmpty() && tasks.peek().atMillis() <= nowMillis) {
        tasks.poll().run().run();
      }
      List.copyOf(hosts).forEach(Host::tick);
      if (nowMillis % POLL_MILLIS == 0) {
        hosts.stream().filter(Host::isCoordinator).forEach(this::confirmTables);
      }
    }
  }

  /** Reports to the coordinator that the store has no changes, unless its reads stand still. */
  private void confirmTables(Host host) {
    for (CatalogTable table : CatalogTable.values()) {
      if (!unreadTables.contains(table)) {
        host.readFromStore(TableChanges.none(table, StoreVersion.ofEraZero(storeVersion)));
      }
    }
  }

  /**
   * Runs until exactly one host is the coordinator and all others are connected to it, or a time
   * limit is reached; returns the elapsed time in milliseconds.
   */
  long runUntilConnected(long limitMillis) {
    long start = nowMillis;
    while (!allConnected() && nowMillis - start < limitMillis) {
      run(STEP_MILLIS);
    }
    return nowMillis - start;
  }

  private boolean allConnected() {
    List<Host> running = hosts.stream().filter(host -> !host.crashed).toList();
    List<Host> coordinators = running.stream().filter(Host::isCoordinator).toList();
    return coordinators.size() == 1
        && running.stream()
            .filter(host -> host != coordinators.get(0))
            .allMatch(
                host ->
                    host.coordinatorLink
                            .filter(link -> link.to() == coordinators.get(0))
                            .isPresent()
                        && coordinators.get(0).hostLinks.containsValue(host.coordinatorLink.get()));
  }

  /** Returns the running hosts that are not the coordinator. */
  List<Host> otherHosts() {
    return hosts.stream().filter(host -> !host.crashed && !host.isCoordinator()).toList();
  }

  /** Returns the host that is the coordinator. */
  Host coordinatingHost() {
    return hosts.stream().filter(Host::isCoordinator).findFirst().orElseThrow();
  }

  /** Returns the hosts that take themselves for the coordinator. */
  List<Host> coordinators() {
    return hosts.stream().filter(Host::isCoordinator).toList();
  }

  int coordinatorCapacity() {
    return coordinatingHost().capacity.millicores();
  }

  /** Crashes all hosts that have at least a given capacity. */
  void crashStrongHosts(int capacity) {
    hosts.stream()
        .filter(host -> host.capacity.millicores() >= capacity)
        .toList()
        .forEach(this::crash);
  }

  /** Ends the process of a host without notice. */
  void crash(Host host) {
    host.crashed = true;
    host.coordinatorLink.ifPresent(this::close);
    List.copyOf(host.hostLinks.values()).forEach(this::close);
  }

  /** Makes the store reject lease writes of hosts that have a capacity of at least 1,000. */
  void refuseLeaseWritesOfStrongHosts() {
    strongHostsMayWrite = false;
  }

  private void perform(Host host, HostEffect effect) {
    if (effect instanceof HostEffect.Lease lease) {
      performLease(host, lease.effect());
    } else if (effect instanceof HostEffect.Keys keys && servesKeys) {
      SimulatedKeys.respond(keys, store)
          .ifPresent(event -> schedule(2 * storeDelayMillis(), () -> host.reduce(event)));
    } else if (effect instanceof HostEffect.Connect connect) {
      connect(host, connect);
    } else if (effect instanceof HostEffect.Disconnect) {
      host.coordinatorLink.ifPresent(this::close);
    } else if (effect instanceof HostEffect.DisconnectHosts) {
      List.copyOf(host.hostLinks.values()).forEach(this::close);
    } else if (effect instanceof HostEffect.SendToCoordinator send) {
      host.coordinatorLink.ifPresent(
          link ->
              schedule(
                  MESSAGE_DELAY_MILLIS,
                  () -> {
                    if (link.to().hostLinks.containsValue(link)) {
                      link.to()
                          .reduce(
                              now ->
                                  new HostEvent.HostMessageReceived(
                                      now, link.id(), send.message()));
                    }
                  }));
    } else if (effect instanceof HostEffect.SendToHost send) {
      sendToHost(host.hostLinks.get(send.link()), send.message());
    } else if (effect instanceof HostEffect.FollowTable follow) {
      host.sources.put(follow.table(), follow.source());
    } else if (effect instanceof HostEffect.Request request) {
      performRequest(host, request.effect());
    } else if (effect instanceof HostEffect.TakeOverChanges take) {
      if (!take.changes().rows().isEmpty()) {
        host.takenOver.add(take.changes());
      }
    } else if (effect instanceof HostEffect.Log line && line.entry().event().equals("lease-won")) {
      leaseWins++;
    }
  }

  private void performRequest(Host host, RequestEffect effect) {
    host.requestEffects.add(effect);
    onRequestEffect.accept(host, effect);
    if (effect instanceof RequestEffect.CheckUpstream check) {
      schedule(
          MESSAGE_DELAY_MILLIS,
          () ->
              host.reduce(
                  now ->
                      new HostEvent.UpstreamChecked(
                          now, check.upstream(), checks.apply(check.upstream()))));
    }
  }

  private void sendToHost(Link link, HostMessage message) {
    if (link != null) {
      schedule(
          MESSAGE_DELAY_MILLIS,
          () -> {
            if (link.from().coordinatorLink.filter(link::equals).isPresent()) {
              link.from()
                  .reduce(
                      now -> new HostEvent.CoordinatorMessageReceived(now, link.term(), message));
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
    Link link = new Link(new LinkId(nextLinkId++), from, to, connect.term());
    from.coordinatorLink = Optional.of(link);
    schedule(
        to.crashed ? CONNECT_TIMEOUT_MILLIS : 2 * MESSAGE_DELAY_MILLIS,
        () -> {
          if (from.coordinatorLink.filter(link::equals).isEmpty()) {
            return;
          }
          if (to.crashed) {
            close(link);
          } else {
            to.hostLinks.put(link.id(), link);
            from.reduce(now -> new HostEvent.CoordinatorConnected(now, link.term()));
          }
        });
  }

  private void close(Link link) {
    if (link.from().coordinatorLink.filter(link::equals).isPresent()) {
      link.from().coordinatorLink = Optional.empty();
      schedule(
          MESSAGE_DELAY_MILLIS,
          () -> link.from().reduce(now -> new HostEvent.CoordinatorDisconnected(now, link.term())));
    }
    if (link.to().hostLinks.remove(link.id()) != null) {
      schedule(
          MESSAGE_DELAY_MILLIS,
          () -> link.to().reduce(now -> new HostEvent.HostDisconnected(now, link.id())));
    }
  }

  private void performLease(Host host, LeaseEffect effect) {
    boolean strong = host.capacity.millicores() >= 1_000;
    if (effect instanceof LeaseEffect.Read) {
      schedule(
          storeDelayMillis(),
          () -> {
            Optional<LeaseRead> read = store.readLease(nowMillis);
            schedule(
                storeDelayMillis(),
                () -> host.reduce(now -> new HostEvent.LeaseReadEnded(now, read)));
          });
    } else if (effect instanceof LeaseEffect.Write write) {
      schedule(
          storeDelayMillis(),
          () -> {
            boolean rejected = strong && !strongHostsMayWrite;
            LeaseWrite result =
                rejected ? new LeaseWrite.NotApplied() : store.writeLease(nowMillis, write);
            schedule(
                storeDelayMillis(),
                () -> host.reduce(now -> new HostEvent.LeaseWriteEnded(now, result)));
          });
    }
  }

  private long storeDelayMillis() {
    return 2L + random.nextInt(6);
  }

  private void schedule(long afterMillis, Runnable run) {
    tasks.add(new Task(nowMillis + afterMillis, nextTaskOrder++, run));
  }
}
