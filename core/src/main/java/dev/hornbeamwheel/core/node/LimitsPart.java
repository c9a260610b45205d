package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.config.Contract;
import dev.hornbeamwheel.core.limits.ContractGroups;
import dev.hornbeamwheel.core.limits.LimitsEffect;
import dev.hornbeamwheel.core.limits.LimitsEvent;
import dev.hornbeamwheel.core.limits.LimitsMessage;
import dev.hornbeamwheel.core.limits.LimitsReducer;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.core.ownership.Voter;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** A router's side of the contract limits. */
final class LimitsPart {
  private final DataCentreId dataCentre;
  private final LimitsReducer limits;
  private final List<ArbiterSearch> searches =
      Stream.generate(ArbiterSearch::new).limit(ContractGroups.COUNT).toList();
  private final List<NodeEffect> out;

  LimitsPart(DataCentreId dataCentre, Incarnation incarnation, List<NodeEffect> out) {
    this.dataCentre = dataCentre;
    this.limits = LimitsReducer.of(incarnation);
    this.out = out;
  }

  LimitsReducer limits() {
    return limits;
  }

  void tick(long nowMillis) {
    IntStream.range(0, searches.size())
        .filter(group -> searches.get(group).turn(nowMillis))
        .forEach(group -> tellArbiter(nowMillis, group));
    reduce(new LimitsEvent.Tick(nowMillis));
  }

  void declare(long nowMillis, List<Contract> contracts) {
    reduce(new LimitsEvent.ContractsInForce(nowMillis, contracts));
  }

  /** Learns the voters of the cell of a group, if the row is one of this data centre. */
  void learn(long nowMillis, CellRow row) {
    int group = row.cell().index();
    if (LimitsCells.contains(row.cell(), dataCentre) && group < searches.size()) {
      searches.get(group).voters(row.voters().stream().map(Voter::member).toList());
      tellArbiter(nowMillis, group);
    }
  }

  void receive(long nowMillis, MemberId from, LimitsMessage.Grant grant) {
    if (grant.group() >= 0 && grant.group() < searches.size()) {
      searches.get(grant.group()).answered(from);
      reduce(new LimitsEvent.GrantReceived(nowMillis, from, grant));
    }
  }

  private void tellArbiter(long nowMillis, int group) {
    reduce(new LimitsEvent.ArbiterKnown(nowMillis, group, searches.get(group).arbiter()));
  }

  private void reduce(LimitsEvent event) {
    for (LimitsEffect effect : limits.reduce(event)) {
      if (effect instanceof LimitsEffect.Send send) {
        searches.get(send.message().group()).asked(event.atMillis());
        out.add(new NodeEffect.Send(send.to(), new PeerMessage.Limits(send.message())));
      }
    }
  }
}
