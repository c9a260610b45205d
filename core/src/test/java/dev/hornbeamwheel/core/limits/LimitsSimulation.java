package dev.hornbeamwheel.core.limits;

import dev.hornbeamwheel.core.config.Contract;
import dev.hornbeamwheel.core.config.DataCentre;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RegionId;
import dev.hornbeamwheel.core.model.Term;
import dev.hornbeamwheel.core.virtual.DriftingClock;
import dev.hornbeamwheel.core.virtual.VirtualNetwork;
import dev.hornbeamwheel.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/** Routers and arbiters of several data centres that share one contract. */
final class LimitsSimulation {
  static final String TABLE = "table";
  static final long REQUEST_LIFETIME_MILLIS = 800;
  private static final long OFFER_MILLIS = 5;
  private static final ContractId CONTRACT = ContractId.of("mill-7");
  private static final int GROUP = ContractGroups.of(CONTRACT);

  final VirtualTime time = new VirtualTime();
  final VirtualNetwork network;
  final List<RouterHost> routers = new ArrayList<>();
  final List<Centre> centres = new ArrayList<>();
  final LimitsOracle oracle;
  private final Random random;
  private final Declarations declarations;
  private final LapseRule lapseRule;
  private final ReuseRule reuseRule;
  private SharesRow row = SharesRow.initial(GROUP);
  private int unansweredPercent;

  LimitsSimulation(Contract contract, int dataCentres, int routersEach, long seed) {
    this(contract, dataCentres, routersEach, seed, LapseRule.AT_EXPIRY, ReuseRule.AFTER_LAPSE);
  }

  LimitsSimulation(
      Contract contract,
      int dataCentres,
      int routersEach,
      long seed,
      LapseRule lapseRule,
      ReuseRule reuseRule) {
    this.random = new Random(seed);
    this.network = new VirtualNetwork(time, seed);
    this.oracle = new LimitsOracle(time, contract);
    this.lapseRule = lapseRule;
    this.reuseRule = reuseRule;
    List<DataCentre> declared =
        IntStream.range(0, dataCentres)
            .mapToObj(i -> new DataCentre(DataCentreId.of("dc" + i), RegionId.of("armor")))
            .toList();
    declarations =
        new Declarations(
            declared, List.of(), List.of(), List.of(contract), Set.of(), Set.of(), Set.of());
    declared.forEach(dataCentre -> centres.add(new Centre(dataCentre.id())));
    for (int i = 0; i < dataCentres * routersEach; i++) {
      routers.add(new RouterHost("r" + i, centres.get(i % dataCentres)));
    }
    centres.forEach(Centre::changeArbiter);
  }

  static Contract contract(long rate, long burst, int concurrency) {
    return new Contract(CONTRACT, "", rate, burst, concurrency, Set.of());
  }

  RouterHost router(int index) {
    return routers.get(index % routers.size());
  }

  Centre centre(int index) {
    return centres.get(index % centres.size());
  }

  void unanswered(int percent) {
    unansweredPercent = percent;
  }

  void heal() {
    network.heal();
    unansweredPercent = 0;
    routers.forEach(router -> router.pausedUntilMillis = 0);
    routers.stream().filter(router -> !router.running).forEach(RouterHost::start);
  }

  /** A data centre with the process that is its arbiter now. */
  final class Centre {
    final DataCentreId id;
    private ArbiterHost arbiter;
    private int changes;

    Centre(DataCentreId id) {
      this.id = id;
    }

    /** Makes a new process the arbiter; the old one has lost the leadership before. */
    void changeArbiter() {
      if (arbiter != null) {
        arbiter.stop();
      }
      changes++;
      ArbiterHost next = new ArbiterHost(this, "a" + changes);
      arbiter = next;
      time.after(random.nextInt(1500), next::lead);
    }
  }

  /** A process that is or was an arbiter. */
  final class ArbiterHost {
    private final Centre centre;
    private final MemberId id;
    private final Set<String> places;
    private final DriftingClock clock = clock();
    private final LimitsArbiter arbiter;
    private boolean stopped;

    ArbiterHost(Centre centre, String name) {
      this.centre = centre;
      this.id = MemberId.of(centre.id + "/" + name);
      this.places = Set.of(centre.id.value(), centre.id + "/arbiter");
      this.arbiter =
          LimitsArbiter.withReuseRule(centre.id, GROUP, REQUEST_LIFETIME_MILLIS, reuseRule);
    }

    private void stop() {
      reduce(new ArbiterEvent.LostLeadership(clock.millis()));
      stopped = true;
    }

    private void lead() {
      reduce(new ArbiterEvent.DeclarationsInForce(clock.millis(), declarations));
      reduce(new ArbiterEvent.BecameLeader(clock.millis(), Term.of(1, 0)));
      routers.stream().filter(router -> router.centre == centre).forEach(this::introduceTo);
      tick();
    }

    private void introduceTo(RouterHost router) {
      time.after(
          random.nextInt(400),
          () -> {
            if (centre.arbiter == this) {
              router.arbiter(id);
            }
          });
    }

    private void tick() {
      if (!stopped) {
        reduce(new ArbiterEvent.Tick(clock.millis()));
        time.after(50, this::tick);
      }
    }

    private void reduce(ArbiterEvent event) {
      if (!stopped) {
        arbiter.reduce(event).forEach(this::perform);
      }
    }

    private void perform(LimitsEffect effect) {
      if (effect instanceof LimitsEffect.Send send) {
        LimitsMessage.Grant grant = (LimitsMessage.Grant) send.message();
        RouterHost to = routers.get(Integer.parseInt(send.to().value().substring(1)));
        network.send(places, to.places, () -> to.granted(id, grant));
      } else if (effect instanceof LimitsEffect.ReadRow read) {
        askTable(
            () -> row, answer -> new ArbiterEvent.RowRead(clock.millis(), read.attempt(), answer));
      } else if (effect instanceof LimitsEffect.WriteRow write) {
        askTable(() -> writeRow(write), answer -> outcome(write, answer));
      }
    }

    private SharesRow writeRow(LimitsEffect.WriteRow write) {
      if (row.version() == write.expectedVersion()) {
        row = write.row();
        oracle.divided(row);
      }
      return row;
    }

    private ArbiterEvent outcome(LimitsEffect.WriteRow write, SharesRow answer) {
      return answer.equals(write.row())
          ? new ArbiterEvent.RowWritten(clock.millis(), write.attempt(), answer)
          : new ArbiterEvent.RowUncertain(clock.millis(), write.attempt());
    }

    private void askTable(
        java.util.function.Supplier<SharesRow> ask,
        java.util.function.Function<SharesRow, ArbiterEvent> answer) {
      network.send(
          places,
          Set.of(TABLE),
          () -> {
            SharesRow result = ask.get();
            if (random.nextInt(100) >= unansweredPercent) {
              network.send(Set.of(TABLE), places, () -> reduce(answer.apply(result)));
            }
          });
    }
  }

  /** A router and its callers. */
  final class RouterHost {
    final MemberId id;
    final Centre centre;
    private final Set<String> places;
    private DriftingClock clock;
    private LimitsReducer limits;
    private Optional<MemberId> arbiter = Optional.empty();
    private long pausedUntilMillis;
    private boolean running;
    private int starts;
    private double offeredPerMilli;
    private double due;

    RouterHost(String name, Centre centre) {
      this.id = MemberId.of(name);
      this.centre = centre;
      this.places = Set.of(name, centre.id.value());
      start();
    }

    void start() {
      starts++;
      running = true;
      clock = clock();
      limits = LimitsReducer.withLapseRule(Incarnation.of(random.nextLong()), lapseRule);
      reduce(new LimitsEvent.ContractsInForce(clock.millis(), declarations.contracts()));
      arbiter.ifPresent(this::arbiter);
      int start = starts;
      time.after(1 + random.nextInt(20), () -> offer(start));
    }

    void kill() {
      running = false;
    }

    void pause(long millis) {
      pausedUntilMillis = time.nowMillis() + millis;
    }

    void offered(double perSecond) {
      offeredPerMilli = perSecond / 1000;
    }

    private void arbiter(MemberId newArbiter) {
      arbiter = Optional.of(newArbiter);
      whenAwake(starts, () -> reduce(new LimitsEvent.ArbiterKnown(clock.millis(), GROUP, arbiter)));
    }

    private void granted(MemberId from, LimitsMessage.Grant grant) {
      whenAwake(starts, () -> reduce(new LimitsEvent.GrantReceived(clock.millis(), from, grant)));
    }

    private void offer(int start) {
      if (!running || starts != start) {
        return;
      }
      whenAwake(
          start,
          () -> {
            for (due += offeredPerMilli * OFFER_MILLIS; due >= 1; due--) {
              admitOne();
            }
            reduce(new LimitsEvent.Tick(clock.millis()));
            time.after(OFFER_MILLIS, () -> offer(start));
          });
    }

    private void admitOne() {
      if (!limits.admit(CONTRACT, clock.millis()).admitted()) {
        return;
      }
      oracle.admitted();
      LimitsReducer admitter = limits;
      long millis = random.nextInt(50) == 0 ? REQUEST_LIFETIME_MILLIS : 2 + random.nextInt(40);
      time.after(
          millis,
          () -> {
            oracle.finished();
            whenAwake(starts, () -> admitter.finished(CONTRACT));
          });
    }

    private void whenAwake(int start, Runnable task) {
      if (!running || starts != start) {
        return;
      }
      if (time.nowMillis() >= pausedUntilMillis) {
        task.run();
      } else {
        time.after(pausedUntilMillis - time.nowMillis(), () -> whenAwake(start, task));
      }
    }

    private void reduce(LimitsEvent event) {
      limits.reduce(event).forEach(this::perform);
    }

    private void perform(LimitsEffect effect) {
      LimitsEffect.Send send = (LimitsEffect.Send) effect;
      LimitsMessage.Request request = (LimitsMessage.Request) send.message();
      ArbiterHost to = centre.arbiter;
      if (to.id.equals(send.to())) {
        network.send(
            places,
            to.places,
            () -> to.reduce(new ArbiterEvent.RequestReceived(to.clock.millis(), id, request)));
      }
    }
  }

  private DriftingClock clock() {
    return new DriftingClock(time, random.nextInt(1_000_000), random.nextInt(21) - 10);
  }
}
