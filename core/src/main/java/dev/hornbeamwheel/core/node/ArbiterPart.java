package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.limits.ArbiterEvent;
import dev.hornbeamwheel.core.limits.ContractGroups;
import dev.hornbeamwheel.core.limits.LimitsArbiter;
import dev.hornbeamwheel.core.limits.LimitsEffect;
import dev.hornbeamwheel.core.limits.LimitsMessage;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.Term;
import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.core.ownership.VoterView;
import java.util.List;
import java.util.stream.IntStream;

/** The arbiters of all groups of contracts in a data centre, of which those that lead act. */
final class ArbiterPart {
  /** Longest time that a request of a lost router stays in flight, in milliseconds. */
  private static final long REQUEST_LIFETIME_MILLIS = 5_000;

  private final DataCentreId dataCentre;
  private final VoterView votes;
  private final List<LimitsArbiter> arbiters;
  private final boolean[] leading = new boolean[ContractGroups.COUNT];
  private final List<NodeEffect> out;

  ArbiterPart(DataCentreId dataCentre, VoterView votes, List<NodeEffect> out) {
    this.dataCentre = dataCentre;
    this.votes = votes;
    this.out = out;
    this.arbiters =
        IntStream.range(0, ContractGroups.COUNT)
            .mapToObj(group -> LimitsArbiter.of(dataCentre, group, REQUEST_LIFETIME_MILLIS))
            .toList();
  }

  void tick(long nowMillis) {
    IntStream.range(0, ContractGroups.COUNT)
        .forEach(
            group -> {
              follow(nowMillis, group);
              if (leading[group]) {
                reduce(group, new ArbiterEvent.Tick(nowMillis));
              }
            });
  }

  void declare(long nowMillis, Declarations declarations) {
    IntStream.range(0, ContractGroups.COUNT)
        .forEach(
            group -> reduce(group, new ArbiterEvent.DeclarationsInForce(nowMillis, declarations)));
  }

  void receive(long nowMillis, MemberId from, LimitsMessage.Request request) {
    int group = request.group();
    if (group < 0 || group >= ContractGroups.COUNT) {
      return;
    }
    follow(nowMillis, group);
    if (leading[group]) {
      reduce(group, new ArbiterEvent.RequestReceived(nowMillis, from, request));
    }
  }

  void answered(int group, ArbiterEvent event) {
    follow(event.atMillis(), group);
    if (leading[group]) {
      reduce(group, event);
    }
  }

  /** Tells an arbiter when the leadership of its cell was won or lost. */
  private void follow(long nowMillis, int group) {
    CellId cell = LimitsCells.cell(dataCentre, group);
    boolean leads = votes.leads(cell, nowMillis);
    if (leads == leading[group]) {
      return;
    }
    leading[group] = leads;
    reduce(
        group,
        leads
            ? new ArbiterEvent.BecameLeader(nowMillis, term(cell))
            : new ArbiterEvent.LostLeadership(nowMillis));
  }

  private Term term(CellId cell) {
    return Term.of(votes.row(cell).map(CellRow::termNumber).orElse(0L), 0);
  }

  private void reduce(int group, ArbiterEvent event) {
    for (LimitsEffect effect : arbiters.get(group).reduce(event)) {
      if (effect instanceof LimitsEffect.Send send) {
        out.add(new NodeEffect.Send(send.to(), new PeerMessage.Limits(send.message())));
      } else {
        out.add(new NodeEffect.Limits(effect));
      }
    }
  }
}
