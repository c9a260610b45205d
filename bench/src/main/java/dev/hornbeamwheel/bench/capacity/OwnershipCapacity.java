package dev.hornbeamwheel.bench.capacity;

import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.platform.store.CellRowCodec;
import java.util.stream.IntStream;
import org.openjdk.jol.info.GraphLayout;

/** Prints the cost of ownership per shard, upstream and cell. */
public final class OwnershipCapacity {
  private static final int CONTROLLERS = 4;
  private static final int UPSTREAMS = 20;
  private static final int SHARDS_PER_CELL = 1024;
  private static final long MEASURED_MILLIS = 20_000;

  private OwnershipCapacity() {}

  /** Measures one service with several numbers of cells. */
  public static void main(String[] args) {
    System.setProperty("jol.magicFieldOffset", "true");
    System.out.println(
        "| shards | cells | row, bytes a shard | memory of a controller, bytes a shard"
            + " | orders/s of an upstream | messages/s of a controller | core of a controller, %"
            + " | steady writes + reads | writes for a lost upstream | re-owned after, ms |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    IntStream.of(1, 4, 16).forEach(OwnershipCapacity::measure);
  }

  private static void measure(int cells) {
    int shards = cells * SHARDS_PER_CELL;
    OwnershipFleet fleet = new OwnershipFleet(CONTROLLERS, UPSTREAMS, shards, cells);
    fleet.advance(15_000);
    fleet.resetCounters();
    fleet.advance(MEASURED_MILLIS);
    double seconds = MEASURED_MILLIS / 1000.0;
    double orders = fleet.orders() / seconds / UPSTREAMS;
    double messages = fleet.messages() / seconds / CONTROLLERS;
    double core = fleet.nanos() / 1e7 / seconds / CONTROLLERS;
    String steady = fleet.writes() + " + " + fleet.reads();
    int rowBytes = CellRowCodec.create().encode(fleet.anyRow()).size();
    long memory = GraphLayout.parseInstance(fleet.controllers().get(0)).totalSize();
    fleet.resetCounters();
    fleet.lose(UpstreamId.of("ledger-3"));
    long lostMillis = 0;
    while (!fleet.settled(shards) && lostMillis < MEASURED_MILLIS) {
      fleet.advance(50);
      lostMillis += 50;
    }
    System.out.printf(
        "| %d | %d | %.1f | %.1f | %.1f | %.1f | %.2f | %s | %d | %d |%n",
        shards,
        cells,
        (double) rowBytes / SHARDS_PER_CELL,
        (double) memory / shards,
        orders,
        messages,
        core,
        steady,
        fleet.writes(),
        lostMillis);
  }
}
