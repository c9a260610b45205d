package dev.hornbeamwheel.bench.capacity;

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
import dev.hornbeamwheel.core.limits.Share;
import dev.hornbeamwheel.core.limits.SharesRow;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RegionId;
import dev.hornbeamwheel.core.model.Term;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.openjdk.jol.info.GraphLayout;

/** Prints memory and processor time of the contract limits at routers and arbiters. */
public final class LimitsCapacity {
  private static final int ROUNDS = 5;
  private static final int ADMISSIONS = 2_000_000;
  private static final int REQUESTS = 50_000;
  private static final DataCentreId CENTRE = DataCentreId.of("quimper");

  private LimitsCapacity() {}

  /** Measures routers with several numbers of contracts and arbiters with several routers. */
  public static void main(String[] args) {
    System.setProperty("jol.magicFieldOffset", "true");
    System.out.println("| contracts at a router | memory, bytes a contract | admit, ns |");
    System.out.println("| --- | --- | --- |");
    IntStream.of(100, 1000, 10_000).forEach(LimitsCapacity::router);
    System.out.println();
    System.out.println("| routers of an arbiter | memory, bytes a router | request, us |");
    System.out.println("| --- | --- | --- |");
    IntStream.of(25, 100, 400).forEach(LimitsCapacity::arbiter);
  }

  private static void router(int count) {
    List<Contract> contracts = contracts(count);
    LimitsReducer router = LimitsReducer.of(Incarnation.of(1));
    router.reduce(new LimitsEvent.ContractsInForce(0, contracts));
    long bytes = GraphLayout.parseInstance(router).totalSize();
    ContractId id = contracts.get(0).id();
    int group = ContractGroups.of(id);
    router.reduce(new LimitsEvent.ArbiterKnown(0, group, Optional.of(MemberId.of("a"))));
    router.admit(id, 1);
    long sequence = sequence(router.reduce(new LimitsEvent.Tick(1000)));
    LimitsMessage.Granted granted =
        new LimitsMessage.Granted(id, Share.of(1_000_000, 1_000_000, 1_000_000));
    router.reduce(
        new LimitsEvent.GrantReceived(
            1001,
            MemberId.of("a"),
            new LimitsMessage.Grant(group, sequence, 1_000_000, List.of(granted))));
    double best = Double.MAX_VALUE;
    double worst = 0;
    for (int round = 0; round < ROUNDS; round++) {
      long start = System.nanoTime();
      for (int i = 0; i < ADMISSIONS; i++) {
        if (router.admit(id, 1002 + i / 1000).admitted()) {
          router.finished(id);
        }
      }
      double nanos = (double) (System.nanoTime() - start) / ADMISSIONS;
      best = Math.min(best, nanos);
      worst = Math.max(worst, nanos);
    }
    System.out.printf("| %d | %d | %.0f to %.0f |%n", count, bytes / count, best, worst);
  }

  private static long sequence(List<LimitsEffect> effects) {
    return effects.stream()
        .map(effect -> (LimitsMessage.Request) ((LimitsEffect.Send) effect).message())
        .mapToLong(LimitsMessage.Request::sequence)
        .max()
        .orElse(1);
  }

  private static void arbiter(int routers) {
    List<Contract> contracts =
        contracts(200).stream().filter(c -> ContractGroups.of(c.id()) == 0).toList();
    Declarations declarations =
        new Declarations(
            List.of(new DataCentre(CENTRE, RegionId.of("armor"))),
            List.of(),
            List.of(),
            contracts,
            Set.of(),
            Set.of(),
            Set.of());
    LimitsArbiter arbiter = LimitsArbiter.of(CENTRE, 0, 1000);
    arbiter.reduce(new ArbiterEvent.DeclarationsInForce(0, declarations));
    arbiter.reduce(new ArbiterEvent.BecameLeader(0, Term.of(1, 0)));
    long empty = GraphLayout.parseInstance(arbiter).totalSize();
    arbiter.reduce(new ArbiterEvent.RowRead(1, 1, SharesRow.initial(0)));
    double best = Double.MAX_VALUE;
    double worst = 0;
    long now = 10_000;
    long sequence = 0;
    for (int round = 0; round < ROUNDS; round++) {
      long start = System.nanoTime();
      for (int i = 0; i < REQUESTS; i++) {
        sequence += i % routers == 0 ? 1 : 0;
        now += i % (routers * 2) == 0 ? 400 : 0;
        arbiter.reduce(request(now, i % routers, sequence, contracts));
      }
      double micros = (System.nanoTime() - start) / 1000.0 / REQUESTS;
      best = Math.min(best, micros);
      worst = Math.max(worst, micros);
    }
    long bytes = GraphLayout.parseInstance(arbiter).totalSize() - empty;
    System.out.printf(
        "| %d, %d contracts each | %d | %.1f to %.1f |%n",
        routers, contracts.size(), bytes / routers, best, worst);
  }

  private static ArbiterEvent request(
      long now, int router, long sequence, List<Contract> contracts) {
    List<LimitsMessage.Claim> claims =
        contracts.stream()
            .map(
                contract ->
                    new LimitsMessage.Claim(
                        contract.id(), Share.NONE, new Share(1000 + router, 1, 1)))
            .toList();
    LimitsMessage.Request request =
        new LimitsMessage.Request(0, Incarnation.of(router), sequence, sequence - 1, claims);
    return new ArbiterEvent.RequestReceived(now, MemberId.of("r" + router), request);
  }

  private static List<Contract> contracts(int count) {
    return IntStream.range(0, count)
        .mapToObj(
            i ->
                new Contract(
                    ContractId.of("customer-" + i),
                    "0".repeat(64),
                    1_000_000,
                    1_000_000,
                    1_000_000,
                    Set.of()))
        .toList();
  }
}
