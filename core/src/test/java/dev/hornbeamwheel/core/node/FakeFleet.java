package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.limits.ArbiterEvent;
import dev.hornbeamwheel.core.limits.LimitsEffect;
import dev.hornbeamwheel.core.limits.SharesRow;
import dev.hornbeamwheel.core.membership.Seed;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.core.ownership.OwnershipEffect;
import dev.hornbeamwheel.core.ownership.OwnershipEvent;
import dev.hornbeamwheel.core.ownership.OwnershipOptions;
import dev.hornbeamwheel.core.ownership.RowReadResult;
import dev.hornbeamwheel.core.ownership.RowWriteResult;
import dev.hornbeamwheel.core.placement.Move;
import dev.hornbeamwheel.core.placement.PlacementView;
import dev.hornbeamwheel.core.virtual.VirtualNetwork;
import dev.hornbeamwheel.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.IntStream;

/** Controllers, routers, upstreams and the platform's table in virtual time. */
final class FakeFleet {
  static final DataCentreId DATA_CENTRE = DataCentreId.of("quimper");
  private static final long TICK_MILLIS = 50;
  private static final long TABLE_MILLIS = 5;

  private final VirtualTime time = new VirtualTime();
  private final VirtualNetwork network = new VirtualNetwork(time, 1);
  private final ItemCodec codec = new InterningCodec();
  private final Map<MemberId, Host> processes = new TreeMap<>();
  private final List<Seed> hostList = new ArrayList<>();
  private final Map<CellId, CellRow> rows = new HashMap<>();
  private final Map<Integer, SharesRow> shares = new HashMap<>();
  private final Map<UpstreamId, ObedientUpstream> upstreams = new TreeMap<>();
  private Configuration configuration = Configuration.initial();

  void apply(Configuration next) {
    configuration = next;
  }

  ControllerNode startController(String name) {
    NodeIdentity identity = identity(name);
    ControllerNode node =
        ControllerNode.create(
            identity, OwnershipOptions.standard(), FakeFleet::spreadEvenly, codec);
    start(identity, node);
    return node;
  }

  RouterNode startRouter(String name) {
    NodeIdentity identity = identity(name);
    RouterNode node = RouterNode.create(identity, codec);
    start(identity, node);
    return node;
  }

  void stop(String name) {
    Host process = processes.get(MemberId.of(name));
    process.reduce(new NodeEvent.Stopping(time.nowMillis()));
    time.after(
        500,
        () -> {
          process.reduce(new NodeEvent.Leaving(time.nowMillis()));
          processes.remove(MemberId.of(name));
        });
  }

  void advance(long millis) {
    time.advance(millis);
  }

  long nowMillis() {
    return time.nowMillis();
  }

  Map<CellId, CellRow> rows() {
    return rows;
  }

  ObedientUpstream upstream(String id) {
    return upstreams.computeIfAbsent(UpstreamId.of(id), absent -> new ObedientUpstream());
  }

  private NodeIdentity identity(String name) {
    int number = hostList.size() + 1;
    String address = "127.0.0.1:" + (7000 + number);
    MemberId member = MemberId.of(name);
    hostList.add(new Seed(member, DATA_CENTRE, address));
    return new NodeIdentity(member, Incarnation.of(number), DATA_CENTRE, address, number);
  }

  private void start(NodeIdentity identity, Reducer<NodeEvent, NodeEffect> node) {
    Host process = new Host(identity, node);
    processes.put(identity.member(), process);
    time.every(TICK_MILLIS, process::tick);
  }

  /** Gives each unassigned slice to an upstream in turn, and moves nothing else. */
  private static List<Move> spreadEvenly(PlacementView view) {
    return view.eligible().isEmpty()
        ? List.of()
        : IntStream.range(0, view.unassigned().size())
            .mapToObj(
                i ->
                    new Move(
                        view.unassigned().get(i),
                        view.eligible().get(i % view.eligible().size()).upstream(),
                        "unassigned"))
            .toList();
  }

  private final class Host {
    private final NodeIdentity identity;
    private final Reducer<NodeEvent, NodeEffect> node;

    Host(NodeIdentity identity, Reducer<NodeEvent, NodeEffect> node) {
      this.identity = identity;
      this.node = node;
    }

    void tick() {
      reduce(new NodeEvent.Tick(time.nowMillis()));
    }

    void reduce(NodeEvent event) {
      if (processes.get(identity.member()) == this) {
        node.reduce(event).forEach(this::perform);
      }
    }

    private void perform(NodeEffect effect) {
      if (effect instanceof NodeEffect.Send send) {
        network.send(
            Set.of(identity.member().value()),
            Set.of(send.to().value()),
            () -> deliver(send.to(), send.message()));
      } else if (effect instanceof NodeEffect.PollHostList) {
        later(() -> new NodeEvent.HostListRead(time.nowMillis(), hostList));
      } else if (effect instanceof NodeEffect.PollConfiguration) {
        later(() -> new NodeEvent.ConfigurationRead(time.nowMillis(), configuration));
      } else if (effect instanceof NodeEffect.Ownership owned) {
        performOwnership(owned.effect());
      } else if (effect instanceof NodeEffect.Limits limits) {
        performLimits(limits.effect());
      }
    }

    private void deliver(MemberId to, PeerMessage message) {
      Host receiver = processes.get(to);
      if (receiver != null) {
        receiver.reduce(
            new NodeEvent.Received(
                time.nowMillis(), identity.member(), identity.incarnation(), message));
      }
    }

    private void performOwnership(OwnershipEffect effect) {
      if (effect instanceof OwnershipEffect.ReadRow read) {
        later(
            () -> {
              CellRow row = rows.get(read.cell());
              RowReadResult result =
                  row == null ? new RowReadResult.Absent() : new RowReadResult.Found(row);
              return new NodeEvent.Ownership(
                  new OwnershipEvent.RowRead(time.nowMillis(), read.cell(), read.readId(), result));
            });
      } else if (effect instanceof OwnershipEffect.WriteRow write) {
        later(() -> new NodeEvent.Ownership(writeRow(write)));
      } else if (effect instanceof OwnershipEffect.SendOrder order) {
        later(
            () ->
                new NodeEvent.Ownership(
                    new OwnershipEvent.UpstreamReplied(
                        time.nowMillis(),
                        order.upstream(),
                        upstream(order.upstream().value()).obey(order.order(), time.nowMillis()))));
      }
    }

    private OwnershipEvent writeRow(OwnershipEffect.WriteRow write) {
      long version = rows.containsKey(write.cell()) ? rows.get(write.cell()).version() : 0;
      boolean expected = version == write.expectedVersion();
      if (expected) {
        rows.put(write.cell(), write.row());
      }
      return new OwnershipEvent.RowWritten(
          time.nowMillis(),
          write.cell(),
          write.row().operationId(),
          expected ? new RowWriteResult.Written() : new RowWriteResult.Conflict());
    }

    private void performLimits(LimitsEffect effect) {
      if (effect instanceof LimitsEffect.ReadRow read) {
        later(
            () -> {
              SharesRow row = shares.getOrDefault(read.group(), SharesRow.initial(read.group()));
              return new NodeEvent.Arbiter(
                  read.group(), new ArbiterEvent.RowRead(time.nowMillis(), read.attempt(), row));
            });
      } else if (effect instanceof LimitsEffect.WriteRow write) {
        later(() -> new NodeEvent.Arbiter(write.row().group(), writeShares(write)));
      }
    }

    private ArbiterEvent writeShares(LimitsEffect.WriteRow write) {
      SharesRow present =
          shares.getOrDefault(write.row().group(), SharesRow.initial(write.row().group()));
      if (present.version() != write.expectedVersion()) {
        return new ArbiterEvent.RowUncertain(time.nowMillis(), write.attempt());
      }
      shares.put(write.row().group(), write.row());
      return new ArbiterEvent.RowWritten(time.nowMillis(), write.attempt(), write.row());
    }

    private void later(Supplier<NodeEvent> event) {
      time.after(TABLE_MILLIS, () -> reduce(event.get()));
    }
  }
}
