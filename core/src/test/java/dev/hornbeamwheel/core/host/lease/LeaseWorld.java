package dev.hornbeamwheel.core.host.lease;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.StoreVersion;
import dev.hornbeamwheel.core.model.HostId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;

/** Simulates hosts that acquire the lease, and a store whose responses are delayed or lost. */
final class LeaseWorld {
  private static final long CALL_TIMEOUT_MILLIS = 600;
  private static final int STEP_MILLIS = 5;

  /** Maximum number of writes that a snapshot misses. */
  private static final int MAX_LOST_WRITES = 10;

  private record Task(long atMillis, long sequence, Runnable action) {}

  private final class Host {
    private final CoordinatorLease lease;
    private final int index;
    private long suspendedUntil;
    private boolean stopping;
    private int calls;

    private Host(int index) {
      this.index = index;
      this.lease =
          CoordinatorLease.create(
              HostId.of("host-" + index), new Address("10.0.0." + index, 80), index);
    }

    private boolean runs() {
      return nowMillis >= suspendedUntil;
    }
  }

  private final Random random;
  private final List<Host> hosts;
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(
          Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::sequence));
  private final double faultRate;

  /** A state of the store, which a snapshot keeps. */
  private record StoreState(Optional<LeaseRow> row, long version) {}

  private Optional<LeaseRow> row = Optional.empty();
  private long version;
  private long era;
  private double restoreRate;
  private final Deque<StoreState> snapshots = new ArrayDeque<>();
  private final Map<Long, Integer> holders = new HashMap<>();
  private long nowMillis;
  private long nextSequence;
  private boolean storeUnavailable;
  private double handOverRate;
  private double stopRate;
  private long acquireDelayMillis;
  int acquisitions;
  int restores;
  int termsOfTwoHosts;
  long leaderlessMillis;

  LeaseWorld(int hosts, long seed, double faultRate) {
    this.random = new Random(seed);
    this.faultRate = faultRate;
    this.hosts = IntStream.range(1, hosts + 1).mapToObj(Host::new).toList();
  }

  /** Runs the simulation and returns the greatest number of simultaneous leaders. */
  int run(long millis) {
    int maxLeaders = 0;
    for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
      while (!tasks.isEmpty() && tasks.peek().atMillis() <= nowMillis) {
        tasks.poll().action().run();
      }
      injectFaults();
      hosts.stream().filter(Host::runs).forEach(this::tick);
      maxLeaders = Math.max(maxLeaders, leaders());
      leaderlessMillis += leaders() == 0 ? STEP_MILLIS : 0;
    }
    return maxLeaders;
  }

  /** Adds random hand-overs, and an acquire delay on every second host. */
  LeaseWorld withHandOvers(double rate, long delayMillis) {
    handOverRate = rate;
    acquireDelayMillis = delayMillis;
    return this;
  }

  /** Adds random restores of the store from snapshots that miss up to ten writes. */
  LeaseWorld withRestores(double rate) {
    restoreRate = rate;
    return this;
  }

  private void restoreStore() {
    StoreState snapshot = List.copyOf(snapshots).get(random.nextInt(snapshots.size()));
    snapshots.clear();
    row = snapshot.row();
    version = snapshot.version();
    era++;
    restores++;
  }

  private void holds(Host host, long term) {
    Integer other = holders.put(term, host.index);
    termsOfTwoHosts += other == null || other == host.index ? 0 : 1;
  }

  void setStoreUnavailable(boolean unavailable) {
    storeUnavailable = unavailable;
  }

  /** Adds stops of random hosts, each of which another host replaces later. */
  LeaseWorld withStops(double rate) {
    stopRate = rate;
    return this;
  }

  /** Returns whether a call of the leader to the store is under way. */
  boolean leaderCalls() {
    return leader().calls > 0;
  }

  /** Returns whether the stored row lets any host acquire the lease. */
  boolean leaseFree() {
    return row.filter(stored -> stored.validUntilStoreMillis() >= nowMillis).isEmpty();
  }

  /** Stops the leader. */
  void stopLeader() {
    stop(leader());
  }

  private Host leader() {
    return hosts.stream().filter(host -> host.lease.isLeader(nowMillis)).findFirst().orElseThrow();
  }

  private void stop(Host host) {
    host.stopping = true;
    perform(host, host.lease.release(nowMillis));
  }

  /** Crashes the leader permanently. */
  void crashLeader() {
    hosts.stream()
        .filter(host -> host.lease.isLeader(nowMillis))
        .forEach(host -> host.suspendedUntil = Long.MAX_VALUE);
  }

  private int leaders() {
    return (int)
        hosts.stream().filter(host -> host.runs() && host.lease.isLeader(nowMillis)).count();
  }

  private void injectFaults() {
    if (random.nextDouble() < faultRate / 200) {
      hosts.get(random.nextInt(hosts.size())).suspendedUntil = nowMillis + random.nextInt(4_000);
    }
    if (random.nextDouble() < faultRate / 400) {
      storeUnavailable = true;
      schedule(random.nextInt(3_000), () -> storeUnavailable = false);
    }
    if (restoreRate > 0 && !snapshots.isEmpty() && random.nextDouble() < restoreRate) {
      restoreStore();
    }
  }

  private void tick(Host host) {
    if (stopRate > 0 && !host.stopping && random.nextDouble() < stopRate) {
      stop(host);
    }
    if (handOverRate > 0 && random.nextDouble() < handOverRate) {
      perform(host, host.lease.handOver(nowMillis));
    }
    perform(host, host.lease.acquire(nowMillis, host.index % 2 == 0 ? 0 : acquireDelayMillis));
    perform(host, host.lease.tick(nowMillis));
  }

  private void perform(Host host, List<LeaseEffect> effects) {
    for (LeaseEffect effect : new ArrayList<>(effects)) {
      boolean call = effect instanceof LeaseEffect.Read || effect instanceof LeaseEffect.Write;
      host.calls += call ? 1 : 0;
      if (effect instanceof LeaseEffect.Read) {
        read(host);
      } else if (effect instanceof LeaseEffect.Write write) {
        write(host, write);
      } else if (effect instanceof LeaseEffect.Won won) {
        acquisitions++;
        holds(host, won.term());
      } else if (effect instanceof LeaseEffect.Continued continued) {
        holds(host, continued.term());
      }
    }
  }

  private void read(Host host) {
    if (responseLost()) {
      respond(host, CALL_TIMEOUT_MILLIS, () -> host.lease.readFailed(nowMillis));
      return;
    }
    schedule(
        delay(),
        () -> {
          LeaseRead read = new LeaseRead(row, new StoreVersion(era, version), nowMillis);
          respond(host, delay(), () -> perform(host, host.lease.readCompleted(nowMillis, read)));
        });
  }

  private void write(Host host, LeaseEffect.Write write) {
    boolean lost = responseLost();
    boolean delayed = lost && random.nextBoolean();
    schedule(
        delayed ? 1_000 + random.nextInt(5_000) : delay(),
        () -> {
          LeaseWrite result = apply(write);
          if (!lost) {
            respond(
                host, delay(), () -> perform(host, host.lease.writeCompleted(nowMillis, result)));
          }
        });
    if (lost) {
      respond(
          host,
          CALL_TIMEOUT_MILLIS,
          () -> perform(host, host.lease.writeCompleted(nowMillis, new LeaseWrite.InDoubt())));
    }
  }

  private LeaseWrite apply(LeaseEffect.Write write) {
    if (storeUnavailable) {
      return new LeaseWrite.NotApplied();
    }
    if (write.expectedVersion().number() != version) {
      return new LeaseWrite.Conflict();
    }
    snapshots.addLast(new StoreState(row, version));
    if (snapshots.size() > MAX_LOST_WRITES) {
      snapshots.removeFirst();
    }
    row = Optional.of(write.row());
    version++;
    return new LeaseWrite.Written(new StoreVersion(era, version), nowMillis);
  }

  private boolean responseLost() {
    return storeUnavailable || random.nextDouble() < faultRate;
  }

  private long delay() {
    return random.nextDouble() < faultRate ? random.nextInt(250) : 2 + random.nextInt(6);
  }

  /** Delivers a response after a delay, or when the host resumes; never to a crashed host. */
  private void respond(Host host, long afterMillis, Runnable action) {
    schedule(
        afterMillis,
        () -> {
          if (host.runs()) {
            host.calls--;
            action.run();
          } else if (host.suspendedUntil < Long.MAX_VALUE) {
            schedule(host.suspendedUntil - nowMillis + 1 + host.index, action);
          }
        });
  }

  private void schedule(long afterMillis, Runnable action) {
    tasks.add(new Task(nowMillis + afterMillis, nextSequence++, action));
  }
}
