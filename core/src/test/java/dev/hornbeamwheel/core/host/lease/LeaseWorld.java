package dev.hornbeamwheel.core.host.lease;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.model.HostId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;

/** Hosts that want the lease, and a store that answers late, twice failing or not at all. */
final class LeaseWorld {
  private static final long CALL_TIMEOUT_MILLIS = 600;
  private static final int STEP_MILLIS = 5;

  private record Task(long atMillis, long order, Runnable run) {}

  private final class Host {
    private final CoordinatorLease lease;
    private final int index;
    private long suspendedUntil;

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
      new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::order));
  private final double faultRate;
  private Optional<LeaseRow> row = Optional.empty();
  private long version;
  private long nowMillis;
  private long order;
  private boolean storeAway;
  private double handOverRate;
  private long yieldMillis;
  int wins;
  long leaderlessMillis;

  LeaseWorld(int hosts, long seed, double faultRate) {
    this.random = new Random(seed);
    this.faultRate = faultRate;
    this.hosts = IntStream.range(1, hosts + 1).mapToObj(Host::new).toList();
  }

  /** Runs the world; returns the greatest number of hosts that counted on the lease at once. */
  int run(long millis) {
    int most = 0;
    for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
      while (!tasks.isEmpty() && tasks.peek().atMillis() <= nowMillis) {
        tasks.poll().run().run();
      }
      injectFaults();
      hosts.stream().filter(Host::runs).forEach(this::tick);
      most = Math.max(most, leaders());
      leaderlessMillis += leaders() == 0 ? STEP_MILLIS : 0;
    }
    return most;
  }

  /** Lets holders hand the lease over now and then, and every other host yield to the rest. */
  LeaseWorld withHandOvers(double rate, long yieldingMillis) {
    handOverRate = rate;
    yieldMillis = yieldingMillis;
    return this;
  }

  void storeAway(boolean away) {
    storeAway = away;
  }

  /** Kills the process that leads, for good. */
  void killLeader() {
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
      storeAway = true;
      later(random.nextInt(3_000), () -> storeAway = false);
    }
  }

  private void tick(Host host) {
    if (handOverRate > 0 && random.nextDouble() < handOverRate) {
      perform(host, host.lease.handOver(nowMillis));
    }
    perform(host, host.lease.acquire(nowMillis, host.index % 2 == 0 ? 0 : yieldMillis));
    perform(host, host.lease.tick(nowMillis));
  }

  private void perform(Host host, List<LeaseEffect> effects) {
    for (LeaseEffect effect : new ArrayList<>(effects)) {
      if (effect instanceof LeaseEffect.Read) {
        read(host);
      } else if (effect instanceof LeaseEffect.Write write) {
        write(host, write);
      } else if (effect instanceof LeaseEffect.Won) {
        wins++;
      }
    }
  }

  private void read(Host host) {
    if (lost()) {
      answer(host, CALL_TIMEOUT_MILLIS, () -> host.lease.readFailed(nowMillis));
      return;
    }
    later(
        delay(),
        () -> {
          LeaseRead read = new LeaseRead(row, version, nowMillis);
          answer(host, delay(), () -> perform(host, host.lease.readCompleted(nowMillis, read)));
        });
  }

  private void write(Host host, LeaseEffect.Write write) {
    boolean lost = lost();
    boolean late = lost && random.nextBoolean();
    later(
        late ? 1_000 + random.nextInt(5_000) : delay(),
        () -> {
          LeaseWrite result = apply(write);
          if (!lost) {
            answer(
                host, delay(), () -> perform(host, host.lease.writeCompleted(nowMillis, result)));
          }
        });
    if (lost) {
      answer(
          host,
          CALL_TIMEOUT_MILLIS,
          () -> perform(host, host.lease.writeCompleted(nowMillis, new LeaseWrite.InDoubt())));
    }
  }

  private LeaseWrite apply(LeaseEffect.Write write) {
    if (storeAway) {
      return new LeaseWrite.NotApplied();
    }
    if (write.expectedVersion() != version) {
      return new LeaseWrite.Conflict();
    }
    row = Optional.of(write.row());
    version++;
    return new LeaseWrite.Written(version, nowMillis);
  }

  private boolean lost() {
    return storeAway || random.nextDouble() < faultRate;
  }

  private long delay() {
    return random.nextDouble() < faultRate ? random.nextInt(250) : 2 + random.nextInt(6);
  }

  private void answer(Host host, long afterMillis, Runnable run) {
    later(
        afterMillis,
        () -> {
          if (host.runs()) {
            run.run();
          } else if (host.suspendedUntil < Long.MAX_VALUE) {
            later(host.suspendedUntil - nowMillis + 1 + host.index, run);
          }
        });
  }

  private void later(long afterMillis, Runnable run) {
    tasks.add(new Task(nowMillis + afterMillis, order++, run));
  }
}
