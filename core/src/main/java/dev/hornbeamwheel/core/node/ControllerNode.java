package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.claims.ClaimEffect;
import dev.hornbeamwheel.core.claims.ClaimEvent;
import dev.hornbeamwheel.core.claims.ClaimReducer;
import dev.hornbeamwheel.core.claims.ClaimVoter;
import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.limits.LimitsMessage;
import dev.hornbeamwheel.core.membership.GossipEvent;
import dev.hornbeamwheel.core.membership.Item;
import dev.hornbeamwheel.core.membership.Member;
import dev.hornbeamwheel.core.membership.MemberState;
import dev.hornbeamwheel.core.membership.Role;
import dev.hornbeamwheel.core.membership.Topic;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.core.ownership.OwnershipEffect;
import dev.hornbeamwheel.core.ownership.OwnershipEvent;
import dev.hornbeamwheel.core.ownership.OwnershipMessage;
import dev.hornbeamwheel.core.ownership.OwnershipOptions;
import dev.hornbeamwheel.core.ownership.OwnershipReducer;
import dev.hornbeamwheel.core.ownership.RowReadResult;
import dev.hornbeamwheel.core.ownership.Voter;
import dev.hornbeamwheel.core.ownership.VoterView;
import dev.hornbeamwheel.core.placement.PlacementPolicy;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * All concerns of a controller, joined into one reducer.
 *
 * <pre>{@code
 * ControllerNode node = ControllerNode.create(identity, options, policy, codec);
 * node.reduce(new NodeEvent.Tick(now)).forEach(performer::perform);
 * }</pre>
 */
public final class ControllerNode implements Reducer<NodeEvent, NodeEffect> {
  private final NodeIdentity self;
  private final ItemCodec codec;
  private final FleetPart fleet;
  private final OwnershipReducer ownership;
  private final ClaimReducer claims;
  private final ArbiterPart arbiters;
  private final LoadBoard load = new LoadBoard();
  private final List<NodeEffect> out = new ArrayList<>();
  private boolean left;

  private ControllerNode(
      NodeIdentity self, OwnershipOptions options, PlacementPolicy policy, ItemCodec codec) {
    this.self = self;
    this.codec = codec;
    this.fleet = new FleetPart(self, Role.CONTROLLER, codec, new FleetListener(), out);
    this.ownership =
        OwnershipReducer.create(
            new Voter(self.member(), self.incarnation()),
            self.dataCentre(),
            options,
            policy,
            cell -> List.of(),
            self.seed());
    this.claims = ClaimReducer.create(new ClaimVoter(self.member(), self.incarnation()));
    this.arbiters = new ArbiterPart(self.dataCentre(), ownership, out);
  }

  /**
   * Returns the reducer of one start of a controller.
   *
   * @param self what the process knows of itself
   * @param options durations of the ownership protocol
   * @param policy decides which slices move
   * @param codec turns gossiped items into bytes
   */
  public static ControllerNode create(
      NodeIdentity self, OwnershipOptions options, PlacementPolicy policy, ItemCodec codec) {
    return new ControllerNode(self, options, policy, codec);
  }

  /** Returns what this controller votes and leads; to be read on the thread that reduces. */
  public VoterView votes() {
    return ownership;
  }

  /** Returns the cells that this controller leads; to be read on the thread that reduces. */
  public List<CellId> cellsLed(long nowMillis) {
    return LimitsCells.addTo(configuration(), self.dataCentre()).declarations().services().stream()
        .flatMap(
            service ->
                IntStream.range(0, service.cells()).mapToObj(i -> CellId.of(service.id(), i)))
        .filter(cell -> ownership.leads(cell, nowMillis))
        .toList();
  }

  /** Returns the configuration in force; to be read on the thread that reduces. */
  public Configuration configuration() {
    return fleet.configuration();
  }

  /** Returns all known members, this one included; to be read on the thread that reduces. */
  public List<Member> members() {
    return List.copyOf(fleet.members());
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
    if (event instanceof NodeEvent.Tick) {
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
    } else if (event instanceof NodeEvent.Ownership answer) {
      own(answer.event());
      learnFromTable(answer.event());
    } else if (event instanceof NodeEvent.Arbiter answer) {
      arbiters.answered(answer.group(), answer.event());
    } else if (event instanceof NodeEvent.HandOverRequested request) {
      own(new OwnershipEvent.LeadershipTransferRequested(now, request.cell()));
    } else if (event instanceof NodeEvent.Stopping) {
      own(new OwnershipEvent.StopRequested(now));
    } else if (event instanceof NodeEvent.Leaving) {
      left = true;
      fleet.gossip(new GossipEvent.Leaving(now));
    }
  }

  private void tick(long now) {
    fleet.tick(now);
    load.sumsDue(now)
        .forEach((service, sum) -> own(new OwnershipEvent.LoadReported(now, service, sum)));
    own(new OwnershipEvent.Tick(now));
    claim(new ClaimEvent.Tick(now));
    arbiters.tick(now);
  }

  private void receive(NodeEvent.Received received) {
    long now = received.atMillis();
    PeerMessage message = received.message();
    if (message instanceof PeerMessage.Gossip gossip) {
      fleet.gossip(
          new GossipEvent.Received(now, received.from(), received.incarnation(), gossip.message()));
    } else if (message instanceof PeerMessage.Ownership owned) {
      own(
          new OwnershipEvent.MessageReceived(
              now, received.from(), received.incarnation(), owned.message()));
      learnFromPeer(now, owned.message());
    } else if (message instanceof PeerMessage.Claim claim) {
      claim(new ClaimEvent.Received(now, received.from(), received.incarnation(), claim.message()));
    } else if (message instanceof PeerMessage.Limits limits
        && limits.message() instanceof LimitsMessage.Request request) {
      arbiters.receive(now, received.from(), request);
    }
  }

  /** Runs the ownership concern, which promises nothing more once the process has left. */
  private void own(OwnershipEvent event) {
    if (left) {
      return;
    }
    long now = event.atMillis();
    for (OwnershipEffect effect : ownership.reduce(event)) {
      if (effect instanceof OwnershipEffect.SendMessage send) {
        out.add(new NodeEffect.Send(send.to(), new PeerMessage.Ownership(send.message())));
      } else if (effect instanceof OwnershipEffect.PublishRow published) {
        fleet.publish(now, RowForms.item(published.row(), codec));
        claim(RowForms.claims(now, published.row()));
      } else if (effect instanceof OwnershipEffect.Log log) {
        out.add(new NodeEffect.Log(log.decision()));
      } else if (!(effect instanceof OwnershipEffect.DeliverClaims)) {
        out.add(new NodeEffect.Ownership(effect));
      }
    }
  }

  private void claim(ClaimEvent event) {
    if (left) {
      return;
    }
    for (ClaimEffect effect : claims.reduce(event)) {
      if (effect instanceof ClaimEffect.Send send) {
        out.add(new NodeEffect.Send(send.to(), new PeerMessage.Claim(send.message())));
      }
    }
  }

  private void learnFromTable(OwnershipEvent event) {
    if (event instanceof OwnershipEvent.RowRead read
        && read.result() instanceof RowReadResult.Found found) {
      claim(RowForms.claims(event.atMillis(), found.row()));
    }
  }

  private void learnFromPeer(long now, OwnershipMessage message) {
    if (message instanceof OwnershipMessage.StoreRow store) {
      claim(RowForms.claims(now, store.row()));
    } else if (message instanceof OwnershipMessage.TermsClosed closed) {
      claim(RowForms.claims(now, closed.row()));
    }
  }

  private void learn(long now, CellRow row) {
    if (LimitsCells.contains(row.cell()) && !LimitsCells.contains(row.cell(), self.dataCentre())) {
      return;
    }
    own(new OwnershipEvent.RowLearned(now, row));
    claim(RowForms.claims(now, row));
  }

  private final class FleetListener implements FleetPart.Listener {
    @Override
    public void configurationInForce(long now, Configuration configuration) {
      own(
          new OwnershipEvent.ConfigurationChanged(
              now, LimitsCells.addTo(configuration, self.dataCentre())));
      arbiters.declare(now, configuration.declarations());
    }

    @Override
    public void membersChanged(long now, Collection<Member> members) {
      Map<DataCentreId, List<Voter>> live =
          members.stream()
              .filter(member -> member.role() == Role.CONTROLLER && member.state().present())
              .collect(
                  Collectors.groupingBy(
                      Member::dataCentre,
                      Collectors.mapping(ControllerNode::voter, Collectors.toList())));
      Set<Voter> gone =
          members.stream()
              .filter(member -> member.role() == Role.CONTROLLER)
              .filter(member -> member.state() == MemberState.LEFT)
              .map(ControllerNode::voter)
              .collect(Collectors.toSet());
      own(new OwnershipEvent.MembersChanged(now, live, gone));
    }

    @Override
    public void itemLearned(long now, Item item) {
      if (item.key().topic() == Topic.CELL_ROW) {
        learn(now, codec.decodeRow(item.content()));
      } else if (item.key().topic() == Topic.LOAD) {
        load.add(now, codec.decodeLoad(item.content()));
      }
    }
  }

  private static Voter voter(Member member) {
    return new Voter(member.id(), member.incarnation());
  }
}
