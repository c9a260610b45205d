package dev.hornbeamwheel.bench.limits;

import dev.hornbeamwheel.core.config.Contract;
import dev.hornbeamwheel.core.config.DataCentre;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.limits.ArbiterEvent;
import dev.hornbeamwheel.core.limits.ContractGroups;
import dev.hornbeamwheel.core.limits.LimitsArbiter;
import dev.hornbeamwheel.core.limits.LimitsEffect;
import dev.hornbeamwheel.core.limits.LimitsEvent;
import dev.hornbeamwheel.core.limits.LimitsMessage;
import dev.hornbeamwheel.core.limits.LimitsReducer;
import dev.hornbeamwheel.core.limits.SharesRow;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RegionId;
import dev.hornbeamwheel.core.model.Term;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/** Routers and arbiters that lease shares of one contract, in virtual time. */
final class LimitsFleet implements Limiter {
  private static final ContractId CONTRACT = ContractId.of("mill-7");
  private static final int GROUP = ContractGroups.of(CONTRACT);
  private static final long DELAY_MILLIS = 2;
  private static final long REQUEST_LIFETIME_MILLIS = 1000;

  private final List<LimitsReducer> routers = new ArrayList<>();
  private final List<LimitsArbiter> arbiters = new ArrayList<>();
  private final Deque<Delivery> deliveries = new ArrayDeque<>();
  private final boolean[] lost;
  private final boolean[] cut;
  private final int centres;
  private SharesRow row = SharesRow.initial(GROUP);
  private long nowMillis;
  private long messages;
  private long writes;

  LimitsFleet(int centres, int routersEach, Scenario.Numbers numbers) {
    this.centres = centres;
    this.lost = new boolean[centres * routersEach];
    this.cut = new boolean[centres];
    Contract contract =
        new Contract(
            CONTRACT, "", numbers.rate(), numbers.burst(), numbers.concurrency(), Set.of());
    List<DataCentre> declared =
        IntStream.range(0, centres)
            .mapToObj(i -> new DataCentre(DataCentreId.of("dc" + i), RegionId.of("armor")))
            .toList();
    Declarations declarations =
        new Declarations(
            declared, List.of(), List.of(), List.of(contract), Set.of(), Set.of(), Set.of());
    for (int centre = 0; centre < centres; centre++) {
      LimitsArbiter arbiter =
          LimitsArbiter.of(declared.get(centre).id(), GROUP, REQUEST_LIFETIME_MILLIS);
      arbiter.reduce(new ArbiterEvent.DeclarationsInForce(0, declarations));
      arbiters.add(arbiter);
      perform(centre, arbiter.reduce(new ArbiterEvent.BecameLeader(0, Term.of(1, 0))));
    }
    for (int index = 0; index < lost.length; index++) {
      LimitsReducer router = LimitsReducer.of(Incarnation.of(index));
      routers.add(router);
      router.reduce(new LimitsEvent.ContractsInForce(0, List.of(contract)));
      router.reduce(
          new LimitsEvent.ArbiterKnown(0, GROUP, Optional.of(MemberId.of("a" + index % centres))));
    }
  }

  @Override
  public void advance(long toMillis) {
    nowMillis = toMillis;
    while (!deliveries.isEmpty() && deliveries.peek().atMillis() <= nowMillis) {
      deliveries.poll().run().run();
    }
    for (int index = 0; index < routers.size() && nowMillis % 5 == 0; index++) {
      if (!lost[index]) {
        performRouter(index, routers.get(index).reduce(new LimitsEvent.Tick(nowMillis)));
      }
    }
    for (int centre = 0; centre < centres && nowMillis % 50 == 0; centre++) {
      perform(centre, arbiters.get(centre).reduce(new ArbiterEvent.Tick(nowMillis)));
    }
  }

  @Override
  public boolean admit(int router) {
    return !lost[router] && routers.get(router).admit(CONTRACT, nowMillis).admitted();
  }

  @Override
  public void finished(int router) {
    routers.get(router).finished(CONTRACT);
  }

  @Override
  public void lose(int router) {
    lost[router] = true;
  }

  @Override
  public void cutOff(int centre) {
    cut[centre] = true;
  }

  @Override
  public long messages() {
    return messages;
  }

  @Override
  public long writes() {
    return writes;
  }

  private void later(Runnable run) {
    deliveries.add(new Delivery(nowMillis + DELAY_MILLIS, run));
  }

  private void performRouter(int index, List<LimitsEffect> effects) {
    for (LimitsEffect effect : effects) {
      messages++;
      LimitsMessage.Request request =
          (LimitsMessage.Request) ((LimitsEffect.Send) effect).message();
      int centre = index % centres;
      MemberId from = MemberId.of("r" + index);
      later(
          () ->
              perform(
                  centre,
                  arbiters
                      .get(centre)
                      .reduce(new ArbiterEvent.RequestReceived(nowMillis, from, request))));
    }
  }

  private void perform(int centre, List<LimitsEffect> effects) {
    effects.forEach(effect -> perform(centre, effect));
  }

  private void perform(int centre, LimitsEffect effect) {
    if (effect instanceof LimitsEffect.Send send) {
      messages++;
      int router = Integer.parseInt(send.to().value().substring(1));
      LimitsMessage.Grant grant = (LimitsMessage.Grant) send.message();
      MemberId from = MemberId.of("a" + centre);
      later(
          () ->
              performRouter(
                  router,
                  routers
                      .get(router)
                      .reduce(new LimitsEvent.GrantReceived(nowMillis, from, grant))));
    } else if (!cut[centre]) {
      later(() -> perform(centre, arbiters.get(centre).reduce(table(effect))));
    }
  }

  private ArbiterEvent table(LimitsEffect effect) {
    if (effect instanceof LimitsEffect.ReadRow read) {
      return new ArbiterEvent.RowRead(nowMillis, read.attempt(), row);
    }
    LimitsEffect.WriteRow write = (LimitsEffect.WriteRow) effect;
    writes++;
    if (row.version() != write.expectedVersion()) {
      return new ArbiterEvent.RowUncertain(nowMillis, write.attempt());
    }
    row = write.row();
    return new ArbiterEvent.RowWritten(nowMillis, write.attempt(), row);
  }

  private record Delivery(long atMillis, Runnable run) {}
}
