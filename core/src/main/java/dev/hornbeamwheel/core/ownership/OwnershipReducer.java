package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.Heartbeat;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.HeartbeatReply;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.LeadershipTransfer;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.PromiseReply;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.RowStored;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.SealReply;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.SealRequest;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.StoreRow;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.TermsClosed;
import dev.hornbeamwheel.core.placement.PlacementPolicy;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Manages the ownership of slices: elects cell leaders, grants leases to upstreams, moves slices
 * and drains upstreams and data centres.
 *
 * <pre>{@code
 * OwnershipReducer reducer =
 *     OwnershipReducer.create(self, dataCentre, options, policy, claims, seed);
 * reducer.reduce(new OwnershipEvent.Tick(now)).forEach(performer::perform);
 * }</pre>
 */
public final class OwnershipReducer implements Reducer<OwnershipEvent, OwnershipEffect>, VoterView {
  private final ControllerContext context;
  private final TreeMap<CellId, Cell> cells = new TreeMap<>();

  private OwnershipReducer(ControllerContext context) {
    this.context = context;
  }

  /**
   * Returns the reducer of one incarnation of a controller.
   *
   * @param self the controller and its incarnation
   * @param dataCentre data centre of the controller
   * @param options timing of the protocol
   * @param policy decides which slices move
   * @param claims supplies the claims that are sent when this voter is sealed
   * @param seed random seed; must differ between members
   */
  public static OwnershipReducer create(
      Voter self,
      DataCentreId dataCentre,
      OwnershipOptions options,
      PlacementPolicy policy,
      ClaimsSource claims,
      long seed) {
    return create(
        new ControllerContext(self, dataCentre, options, policy, claims, seed, SkippedStep.NONE));
  }

  static OwnershipReducer create(ControllerContext context) {
    return new OwnershipReducer(context);
  }

  @Override
  public List<OwnershipEffect> reduce(OwnershipEvent event) {
    long now = event.atMillis();
    apply(event, now);
    context.outbox().flushHeartbeats(now);
    Optional<OwnershipMessage> local = context.outbox().pollLocal();
    while (local.isPresent()) {
      receive(context.self(), local.get(), now);
      local = context.outbox().pollLocal();
    }
    return context.outbox().drain();
  }

  private void apply(OwnershipEvent event, long now) {
    if (event instanceof OwnershipEvent.Tick) {
      tick(now);
    } else if (event instanceof OwnershipEvent.MessageReceived received) {
      receive(new Voter(received.from(), received.incarnation()), received.message(), now);
    } else if (event instanceof OwnershipEvent.RowRead read) {
      cell(read.cell()).onRowRead(read.readId(), read.result(), now);
    } else if (event instanceof OwnershipEvent.RowWritten written) {
      cell(written.cell()).onRowWritten(written.operationId(), written.result(), now);
    } else if (event instanceof OwnershipEvent.RowLearned learned) {
      cell(learned.row().cell()).learn(learned.row(), false, now);
    } else if (event instanceof OwnershipEvent.UpstreamReplied replied) {
      cell(replied.reply().cell()).onUpstreamReply(replied.upstream(), replied.reply(), now);
    } else if (event instanceof OwnershipEvent.ConfigurationChanged changed) {
      context.topology().configure(changed.configuration(), now);
      createCells();
    } else if (event instanceof OwnershipEvent.MembersChanged members) {
      context.topology().updateMembers(members.live(), members.decommissioned(), now);
    } else if (event instanceof OwnershipEvent.LoadReported load) {
      context.loadReports().update(load.service(), load.load());
    } else if (event instanceof OwnershipEvent.StopRequested) {
      context.stop();
      cells.values().forEach(Cell::transferLeadership);
    } else if (event instanceof OwnershipEvent.LeadershipTransferRequested request) {
      cell(request.cell()).transferLeadership();
    }
  }

  private Cell cell(CellId id) {
    return cells.computeIfAbsent(id, key -> new Cell(context, key));
  }

  private void createCells() {
    for (Service service : context.topology().declarations().services()) {
      IntStream.range(0, service.cells()).forEach(i -> cell(CellId.of(service.id(), i)));
    }
  }

  private void tick(long now) {
    cells.forEach(
        (id, cell) -> context.topology().service(id.service()).ifPresent(s -> cell.tick(s, now)));
  }

  private void receive(Voter from, OwnershipMessage message, long now) {
    if (message instanceof Heartbeat heartbeat) {
      promise(from, heartbeat, now);
    } else if (message instanceof HeartbeatReply promises) {
      promises
          .replies()
          .forEach(
              reply ->
                  cell(reply.cell()).onPromiseReply(from, promises.sentAtMillis(), reply, now));
    } else if (message instanceof StoreRow store) {
      cell(store.row().cell()).onStoreRow(from.member(), store, now);
    } else if (message instanceof RowStored stored) {
      cell(stored.cell()).onRowStored(from, stored);
    } else if (message instanceof SealRequest request) {
      cell(request.cell()).onSealRequest(from.member(), request, now);
    } else if (message instanceof SealReply reply) {
      cell(reply.cell()).onSealReply(from, reply, now);
    } else if (message instanceof LeadershipTransfer handOver) {
      cell(handOver.cell()).onLeadershipTransfer(from.member(), handOver, now);
    } else if (message instanceof TermsClosed closed) {
      cell(closed.row().cell()).onTermsClosed(closed, now);
    }
  }

  private void promise(Voter from, Heartbeat heartbeat, long now) {
    if (!heartbeat.target().equals(context.self().incarnation())) {
      return;
    }
    List<PromiseReply> replies =
        heartbeat.requests().stream()
            .map(request -> cell(request.cell()).onPromiseRequest(from, request, now))
            .toList();
    context.outbox().send(from.member(), new HeartbeatReply(heartbeat.sentAtMillis(), replies));
  }

  @Override
  public Optional<CellRow> row(CellId cell) {
    return Optional.ofNullable(cells.get(cell)).flatMap(Cell::row);
  }

  @Override
  public boolean sealed(CellId cell, long termNumber) {
    return cells.containsKey(cell) && cells.get(cell).sealed(termNumber);
  }

  @Override
  public boolean votes(CellId cell) {
    return cells.containsKey(cell) && cells.get(cell).votes();
  }

  @Override
  public boolean leads(CellId cell, long atMillis) {
    return cells.containsKey(cell) && cells.get(cell).leads(atMillis);
  }
}
