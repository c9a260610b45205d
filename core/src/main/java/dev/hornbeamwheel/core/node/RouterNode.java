package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.limits.LimitsMessage;
import dev.hornbeamwheel.core.limits.LimitsReducer;
import dev.hornbeamwheel.core.membership.GossipEvent;
import dev.hornbeamwheel.core.membership.Item;
import dev.hornbeamwheel.core.membership.ItemKey;
import dev.hornbeamwheel.core.membership.Member;
import dev.hornbeamwheel.core.membership.Role;
import dev.hornbeamwheel.core.membership.Topic;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.core.ownership.Voter;
import dev.hornbeamwheel.core.routing.Peer;
import dev.hornbeamwheel.core.routing.RoutingEffect;
import dev.hornbeamwheel.core.routing.RoutingEvent;
import dev.hornbeamwheel.core.routing.RoutingReducer;
import dev.hornbeamwheel.core.routing.RoutingSettings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * All concerns of a router, joined into one reducer.
 *
 * <p>A caller's request is first admitted by {@link #limits()} and then handed over as {@link
 * RoutingEvent.RequestArrived}, both on the thread that reduces.
 *
 * <pre>{@code
 * RouterNode node = RouterNode.create(identity, codec);
 * if (node.limits().admit(contract, now).admitted()) {
 *   node.reduce(new NodeEvent.Routing(arrived)).forEach(performer::perform);
 * }
 * }</pre>
 */
public final class RouterNode implements Reducer<NodeEvent, NodeEffect> {
  private final ItemCodec codec;
  private final FleetPart fleet;
  private final LimitsPart limits;
  private final RoutingReducer routing;
  private final LoadCollector load;
  private final MovingRows moving = new MovingRows();
  private final RowRefresh refresh = new RowRefresh();
  private final Map<CellId, CellRow> rows = new HashMap<>();
  private final List<NodeEffect> out = new ArrayList<>();
  private long reports;

  private RouterNode(NodeIdentity self, ItemCodec codec) {
    this.codec = codec;
    this.fleet = new FleetPart(self, Role.ROUTER, codec, new FleetListener(), out);
    this.limits = new LimitsPart(self.dataCentre(), self.incarnation(), out);
    this.load = new LoadCollector(self.member());
    this.routing =
        RoutingReducer.create(
            new RoutingSettings(self.member(), self.incarnation(), self.dataCentre(), self.seed()));
  }

  /**
   * Returns the reducer of one start of a router.
   *
   * @param self what the process knows of itself
   * @param codec turns gossiped items into bytes
   */
  public static RouterNode create(NodeIdentity self, ItemCodec codec) {
    return new RouterNode(self, codec);
  }

  /** Returns the admission under contracts; to be used on the thread that reduces. */
  public LimitsReducer limits() {
    return limits.limits();
  }

  /** Returns the configuration in force; to be read on the thread that reduces. */
  public Configuration configuration() {
    return fleet.configuration();
  }

  /** Returns all known members, this one included; to be read on the thread that reduces. */
  public List<Member> members() {
    return List.copyOf(fleet.members());
  }

  /** Returns the latest known row of a cell, empty if none; to be read on the same thread. */
  public Optional<CellRow> row(CellId cell) {
    return Optional.ofNullable(rows.get(cell));
  }

  @Override
  public List<NodeEffect> reduce(NodeEvent event) {
    apply(event);
    List<NodeEffect> effects = List.copyOf(out);
    out.clear();
    return effects;
  }

  private void apply(NodeEvent event) {
    long now = event.atMillis();
    if (event instanceof NodeEvent.Routing routed) {
      route(routed.event());
    } else if (event instanceof NodeEvent.Tick) {
      tick(now);
    } else if (event instanceof NodeEvent.Received received) {
      receive(received);
    } else if (event instanceof NodeEvent.PeerUnreachable unreachable) {
      fleet.gossip(new GossipEvent.Unreachable(now, unreachable.member()));
    } else if (event instanceof NodeEvent.HostListRead read) {
      fleet.gossip(new GossipEvent.HostListRead(now, read.seeds()));
    } else if (event instanceof NodeEvent.ConfigurationRead read) {
      fleet.configurationRead(now, read.configuration());
    } else if (event instanceof NodeEvent.CellRowRead read) {
      learn(now, read.row());
    } else if (event instanceof NodeEvent.Stopping) {
      route(new RoutingEvent.Stopping(now));
    } else if (event instanceof NodeEvent.Leaving) {
      fleet.gossip(new GossipEvent.Leaving(now));
    }
  }

  private void tick(long now) {
    fleet.tick(now);
    limits.tick(now);
    moving
        .due(now)
        .forEach(
            row -> route(new RoutingEvent.OwnershipRowReceived(now, RowForms.routing(row, false))));
    route(new RoutingEvent.Tick(now));
    load.reportsDue(now).forEach(report -> send(now, report));
  }

  private void receive(NodeEvent.Received received) {
    long now = received.atMillis();
    PeerMessage message = received.message();
    if (message instanceof PeerMessage.Gossip gossip) {
      fleet.gossip(
          new GossipEvent.Received(now, received.from(), received.incarnation(), gossip.message()));
    } else if (message instanceof PeerMessage.Dispatch dispatch) {
      route(
          new RoutingEvent.DispatchReceived(
              now, received.from(), received.incarnation(), dispatch.message()));
    } else if (message instanceof PeerMessage.Claim claim) {
      route(
          new RoutingEvent.ClaimReceived(
              now, received.from(), received.incarnation(), claim.message()));
    } else if (message instanceof PeerMessage.Limits granted
        && granted.message() instanceof LimitsMessage.Grant grant) {
      limits.receive(now, received.from(), grant);
    }
  }

  private void route(RoutingEvent event) {
    long now = event.atMillis();
    for (RoutingEffect effect : routing.reduce(event)) {
      if (effect instanceof RoutingEffect.SendDispatchMessage send) {
        out.add(new NodeEffect.Send(send.to(), new PeerMessage.Dispatch(send.message())));
      } else if (effect instanceof RoutingEffect.SendClaimMessage send) {
        out.add(new NodeEffect.Send(send.to(), new PeerMessage.Claim(send.message())));
      } else if (effect instanceof RoutingEffect.BroadcastEvidence share) {
        fleet.publish(now, EvidenceItems.item(share.evidence(), codec));
      } else if (effect instanceof RoutingEffect.RefreshOwnership stale) {
        refresh(now, CellId.of(stale.service(), stale.cellIndex()));
      } else if (effect instanceof RoutingEffect.ReportLoad report) {
        collect(report);
      } else if (effect instanceof RoutingEffect.LogDecision log) {
        out.add(new NodeEffect.Log(log.decision()));
      } else if (!(effect instanceof RoutingEffect.ReportUpstream)) {
        out.add(new NodeEffect.Routing(effect));
      }
    }
  }

  private void refresh(long now, CellId cell) {
    if (refresh.allowed(now, cell)) {
      out.add(new NodeEffect.ReadCellRow(cell));
    }
  }

  private void collect(RoutingEffect.ReportLoad report) {
    configuration().declarations().services().stream()
        .filter(service -> service.id().equals(report.service()) && service.keyed())
        .findFirst()
        .map(service -> cell(service, report.shard()))
        .ifPresent(
            cell -> load.add(cell, new Slice(report.shard(), report.keyHash()), report.requests()));
  }

  private static CellId cell(Service service, int shard) {
    return CellId.of(service.id(), service.cellOf(shard));
  }

  /** Sends a load report to the voters of the cell, one of which leads it. */
  private void send(long now, LoadReport report) {
    CellId cell = CellId.of(report.service(), report.cell());
    CellRow row = rows.get(cell);
    if (row == null) {
      return;
    }
    reports++;
    Item item = Item.of(ItemKey.of(Topic.LOAD, cell.rowName()), reports, codec.encodeLoad(report));
    row.voters().stream()
        .map(Voter::member)
        .forEach(voter -> fleet.gossip(new GossipEvent.LocalReport(now, voter, item)));
  }

  private void learn(long now, CellRow row) {
    CellRow known = rows.get(row.cell());
    if (known != null && known.version() >= row.version()) {
      return;
    }
    rows.put(row.cell(), row);
    if (LimitsCells.contains(row.cell())) {
      limits.learn(now, row);
      return;
    }
    moving.learned(now, row);
    route(new RoutingEvent.OwnershipRowReceived(now, RowForms.routing(row, true)));
  }

  private final class FleetListener implements FleetPart.Listener {
    @Override
    public void configurationInForce(long now, Configuration configuration) {
      route(new RoutingEvent.ConfigurationChanged(now, configuration));
      limits.declare(now, configuration.declarations().contracts());
    }

    @Override
    public void membersChanged(long now, Collection<Member> members) {
      List<Peer> routers =
          members.stream()
              .filter(member -> member.role() == Role.ROUTER && member.state().present())
              .map(member -> new Peer(member.id(), member.incarnation(), member.dataCentre()))
              .toList();
      route(new RoutingEvent.MembersChanged(now, routers));
    }

    @Override
    public void itemLearned(long now, Item item) {
      if (item.key().topic() == Topic.CELL_ROW) {
        learn(now, codec.decodeRow(item.content()));
      } else if (item.key().topic() == Topic.QUARANTINE) {
        route(
            new RoutingEvent.EvidenceReceived(
                now, List.of(codec.decodeEvidence(item.content(), item.ageMillis()))));
      }
    }
  }
}
