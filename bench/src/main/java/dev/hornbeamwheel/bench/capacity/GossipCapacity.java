package dev.hornbeamwheel.bench.capacity;

import dev.hornbeamwheel.core.membership.Topic;
import java.util.Arrays;
import java.util.Random;
import java.util.stream.IntStream;
import org.openjdk.jol.info.GraphLayout;

/** Prints the cost of gossip per member; the arguments are the numbers of members. */
public final class GossipCapacity {
  private static final long MEASURED_MILLIS = 20_000;
  private static final long BOOT_LIMIT_MILLIS = 60_000;
  private static final int CONFIGURATION_BYTES = 560_000;
  private static final int CELL_ROWS = 64;
  private static final int CELL_ROW_BYTES = 8192;

  private GossipCapacity() {}

  /** Measures fleets of several sizes. */
  public static void main(String[] args) {
    System.setProperty("jol.magicFieldOffset", "true");
    int[] sizes =
        args.length > 0
            ? Arrays.stream(args).mapToInt(Integer::parseInt).toArray()
            : new int[] {50, 200, 800, 2300};
    System.out.println(
        "| members | cold start, s | quiet, bytes/s mean | most | messages/s sent | core, % |"
            + " 1 change/s, bytes/s | change everywhere, ms"
            + " | loss noticed everywhere, ms |"
            + " configuration first, ms | its next version, ms | bytes of it | memory, KB |");
    IntStream.of(sizes).forEach(size -> measure(size, size));
  }

  private static void measure(int members, long seed) {
    GossipFleet fleet = new GossipFleet(members, seed);
    long bootMillis = boot(fleet);
    fleet.resetCounters();
    fleet.advance(MEASURED_MILLIS);
    String quiet = rates(fleet);
    Random random = new Random(seed);
    byte[][] rows = new byte[CELL_ROWS][];
    for (int row = 0; row < CELL_ROWS; row++) {
      rows[row] = bytes(random, CELL_ROW_BYTES);
      fleet.publish(Topic.CELL_ROW, "row-" + row, 1, rows[row]);
    }
    fleet.advance(5000);
    fleet.resetCounters();
    long relay = relay(fleet, rows, random);
    long busyBytes = 2 * fleet.sentBytes() * 1000 / MEASURED_MILLIS / members;
    byte[] configuration = bytes(random, CONFIGURATION_BYTES);
    long first = spread(fleet, Topic.CONFIGURATION, "configuration", 1, configuration);
    fleet.advance(5000);
    configuration[CONFIGURATION_BYTES / 2]++;
    fleet.resetCounters();
    long next = spread(fleet, Topic.CONFIGURATION, "configuration", 2, configuration);
    long bytesOfNext = 2 * fleet.sentBytes() / members;
    fleet.kill(1);
    long start = 0;
    while (fleet.believers(1) > 0 && start < BOOT_LIMIT_MILLIS) {
      fleet.advance(50);
      start += 50;
    }
    long memory = GraphLayout.parseInstance(fleet.reducer(0)).totalSize() / 1024;
    System.out.printf(
        "| %d | %.1f | %s | %d | %d | %d | %d | %d | %d | %d |%n",
        members,
        bootMillis / 1000.0,
        quiet,
        busyBytes,
        relay,
        start,
        first,
        next,
        bytesOfNext,
        memory);
  }

  private static long boot(GossipFleet fleet) {
    long millis = 0;
    while (fleet.leastKnown() < fleet.size() && millis < BOOT_LIMIT_MILLIS) {
      fleet.advance(100);
      millis += 100;
    }
    fleet.advance(3000);
    return millis;
  }

  /** Changes one row a second and returns the longest time until a change was everywhere. */
  private static long relay(GossipFleet fleet, byte[][] rows, Random random) {
    long longest = 0;
    for (int second = 0; second < MEASURED_MILLIS / 1000; second++) {
      rows[second][random.nextInt(CELL_ROW_BYTES)]++;
      long millis = spread(fleet, Topic.CELL_ROW, "row-" + second, 2, rows[second]);
      longest = Math.max(longest, millis);
      fleet.advance(Math.max(0, 1000 - millis));
    }
    return longest;
  }

  private static long spread(
      GossipFleet fleet, Topic topic, String name, long version, byte[] content) {
    fleet.publish(topic, name, version, content);
    long millis = 0;
    while (fleet.holders(topic, name, version) < fleet.size() && millis < BOOT_LIMIT_MILLIS) {
      fleet.advance(20);
      millis += 20;
    }
    return millis;
  }

  private static String rates(GossipFleet fleet) {
    double seconds = MEASURED_MILLIS / 1000.0;
    return String.format(
        "%.0f | %.0f | %.1f | %.3f",
        2 * fleet.sentBytes() / seconds / fleet.size(),
        fleet.mostBytesOfAMember() / seconds,
        fleet.sentMessages() / seconds / fleet.size(),
        fleet.reducerNanos() / 1e7 / seconds / fleet.size());
  }

  private static byte[] bytes(Random random, int size) {
    byte[] bytes = new byte[size];
    random.nextBytes(bytes);
    return bytes;
  }
}
