package dev.hornbeamwheel.bench.capacity;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.config.DataCentre;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.config.Fencing;
import dev.hornbeamwheel.core.config.Isolation;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.config.ServiceKind;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RegionId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.core.ownership.OwnershipEffect;
import dev.hornbeamwheel.core.ownership.OwnershipEvent;
import dev.hornbeamwheel.core.ownership.OwnershipOptions;
import dev.hornbeamwheel.core.ownership.OwnershipReducer;
import dev.hornbeamwheel.core.ownership.RowReadResult;
import dev.hornbeamwheel.core.ownership.RowWriteResult;
import dev.hornbeamwheel.core.ownership.UpstreamOrder;
import dev.hornbeamwheel.core.ownership.UpstreamReply;
import dev.hornbeamwheel.core.ownership.Voter;
import dev.hornbeamwheel.core.placement.PlacementPolicies;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/** Controllers of one data centre that lead the cells of one service, in virtual time. */
final class OwnershipFleet {
  private static final DataCentreId CENTRE = DataCentreId.of("quimper");
  private static final ServiceId SERVICE = ServiceId.of("stock-ledger");
  private static final long DELAY_MILLIS = 2;

  private final List<OwnershipReducer> controllers = new ArrayList<>();
  private final List<Voter> voters;
  private final Map<CellId, CellRow> table = new HashMap<>();
  private final Map<String, Long> sets = new HashMap<>();
  private final Deque<Delivery> deliveries = new ArrayDeque<>();
  private Optional<UpstreamId> lost = Optional.empty();
  private long nowMillis;
  private long orders;
  private long messages;
  private long writes;
  private long reads;
  private long nanos;

  OwnershipFleet(int controllerCount, int upstreamCount, int shards, int cells) {
    voters =
        IntStream.range(0, controllerCount)
            .mapToObj(i -> new Voter(MemberId.of("c" + i), Incarnation.of(i + 1L)))
            .toList();
    Configuration configuration = new Configuration(1, declarations(upstreamCount, shards, cells));
    for (int i = 0; i < controllerCount; i++) {
      controllers.add(
          OwnershipReducer.create(
              voters.get(i),
              CENTRE,
              OwnershipOptions.standard(),
              PlacementPolicies.boundedChurn(),
              cell -> List.of(),
              i));
    }
    for (int i = 0; i < controllerCount; i++) {
      handle(i, new OwnershipEvent.ConfigurationChanged(0, configuration));
      handle(i, new OwnershipEvent.MembersChanged(0, Map.of(CENTRE, voters), Set.of()));
    }
  }

  private static Declarations declarations(int upstreamCount, int shards, int cells) {
    Service service =
        new Service(
            SERVICE,
            ServiceKind.KEYED,
            shards,
            cells,
            Fencing.CHECKED,
            Isolation.KEEP_SERVING,
            new ColdStart(10, 100, 1000),
            2000);
    List<Upstream> upstreams =
        IntStream.range(0, upstreamCount)
            .mapToObj(
                i ->
                    new Upstream(
                        UpstreamId.of("ledger-" + i),
                        SERVICE,
                        CENTRE,
                        "127.0.0.1:" + (9000 + i),
                        2,
                        300))
            .toList();
    return new Declarations(
        List.of(new DataCentre(CENTRE, RegionId.of("armor"))),
        List.of(service),
        upstreams,
        List.of(),
        Set.of(),
        Set.of(),
        Set.of());
  }

  void advance(long millis) {
    long end = nowMillis + millis;
    while (nowMillis < end) {
      nowMillis++;
      while (!deliveries.isEmpty() && deliveries.peek().atMillis() <= nowMillis) {
        Delivery delivery = deliveries.poll();
        handle(delivery.to(), delivery.event());
      }
      if (nowMillis % OwnershipOptions.standard().tickMillis() == 0) {
        IntStream.range(0, controllers.size())
            .forEach(i -> handle(i, new OwnershipEvent.Tick(nowMillis)));
      }
    }
  }

  void lose(UpstreamId upstream) {
    lost = Optional.of(upstream);
  }

  /** Returns whether all shards are assigned, none to the lost upstream and none on the move. */
  boolean settled(int shards) {
    int assigned = table.values().stream().mapToInt(row -> row.assignments().size()).sum();
    return assigned >= shards
        && table.values().stream()
            .flatMap(row -> row.assignments().stream())
            .noneMatch(a -> lost.isPresent() && a.owner().equals(lost.get()));
  }

  void resetCounters() {
    orders = 0;
    messages = 0;
    writes = 0;
    reads = 0;
    nanos = 0;
  }

  long orders() {
    return orders;
  }

  long messages() {
    return messages;
  }

  long writes() {
    return writes;
  }

  long reads() {
    return reads;
  }

  long nanos() {
    return nanos;
  }

  List<OwnershipReducer> controllers() {
    return controllers;
  }

  CellRow anyRow() {
    return table.values().iterator().next();
  }

  private void handle(int controller, OwnershipEvent event) {
    long start = System.nanoTime();
    List<OwnershipEffect> effects = controllers.get(controller).reduce(event);
    nanos += System.nanoTime() - start;
    effects.forEach(effect -> perform(controller, effect));
  }

  private void later(int to, OwnershipEvent event) {
    deliveries.add(new Delivery(nowMillis + DELAY_MILLIS, to, event));
  }

  private void perform(int from, OwnershipEffect effect) {
    long at = nowMillis + DELAY_MILLIS;
    if (effect instanceof OwnershipEffect.SendMessage send) {
      messages++;
      Voter sender = voters.get(from);
      int to = Integer.parseInt(send.to().value().substring(1));
      later(
          to,
          new OwnershipEvent.MessageReceived(
              at, sender.member(), sender.incarnation(), send.message()));
    } else if (effect instanceof OwnershipEffect.ReadRow read) {
      reads++;
      CellRow row = table.get(read.cell());
      RowReadResult result =
          row == null ? new RowReadResult.Absent() : new RowReadResult.Found(row);
      later(from, new OwnershipEvent.RowRead(at, read.cell(), read.readId(), result));
    } else if (effect instanceof OwnershipEffect.WriteRow write) {
      later(
          from,
          new OwnershipEvent.RowWritten(at, write.cell(), write.row().operationId(), write(write)));
    } else if (effect instanceof OwnershipEffect.SendOrder order) {
      orders++;
      answer(from, order, at);
    }
  }

  private RowWriteResult write(OwnershipEffect.WriteRow write) {
    writes++;
    CellRow held = table.get(write.cell());
    if ((held == null ? 0 : held.version()) != write.expectedVersion()) {
      return new RowWriteResult.Conflict();
    }
    table.put(write.cell(), write.row());
    return new RowWriteResult.Written();
  }

  private void answer(int to, OwnershipEffect.SendOrder sent, long at) {
    UpstreamOrder order = sent.order();
    if (lost.isPresent() && lost.get().equals(sent.upstream())) {
      later(to, new OwnershipEvent.UpstreamUnreachable(at, sent.upstream(), order.orderId()));
      return;
    }
    String key = sent.upstream() + "/" + order.cell();
    if (order instanceof UpstreamOrder.Replace replace) {
      sets.put(key, replace.setVersion());
    } else if (order instanceof UpstreamOrder.Release release) {
      sets.put(key, release.setVersion());
    }
    UpstreamReply reply =
        new UpstreamReply(
            order.cell(),
            order.orderId(),
            Incarnation.of(7),
            at,
            UpstreamReply.Outcome.DONE,
            sets.getOrDefault(key, 0L),
            0);
    later(to, new OwnershipEvent.UpstreamReplied(at, sent.upstream(), reply));
  }

  private record Delivery(long atMillis, int to, OwnershipEvent event) {}
}
