package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.config.Fencing;
import dev.hornbeamwheel.core.config.Isolation;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Failures and operations, at the current deployment size, during which slice unavailability is
 * measured.
 */
enum Drill {
  UPSTREAM_LOST(false, 8000, c -> c.kill(owner(c).value())),
  UPSTREAM_RESTARTED(
      false,
      8000,
      c -> {
        String upstream = owner(c).value();
        c.kill(upstream);
        c.schedule(300, () -> c.restartUpstream(upstream));
      }),
  UPSTREAM_FROZEN_5_S(
      false,
      10_000,
      c -> {
        String upstream = owner(c).value();
        c.freeze(upstream, true);
        c.schedule(5000, () -> c.freeze(upstream, false));
      }),
  CONTROLLER_LOST(true, 8000, c -> c.kill(leader(c))),
  CONTROLLER_STOPPED(true, 8000, c -> stop(c, leader(c))),
  TWO_CONTROLLERS_LOST(
      false,
      8000,
      c -> {
        c.kill(leader(c));
        c.schedule(100, () -> c.kill(leader(c)));
      }),
  UPSTREAM_DRAINED(
      true, 8000, c -> c.apply(ClusterFixtures.drain(c.declarations(), owner(c), true))),
  DATA_CENTRE_OUT_AND_BACK(
      true,
      25_000,
      c -> {
        c.apply(ClusterFixtures.drain(c.declarations(), home(c), true));
        DataCentreId dataCentre = home(c);
        c.schedule(
            10_000, () -> c.apply(ClusterFixtures.drain(c.declarations(), dataCentre, false)));
      }),
  DATA_CENTRE_LOST_AND_DECLARED(
      false,
      12_000,
      c -> {
        DataCentreId dataCentre = home(c);
        c.nodes(dataCentre).forEach(c::kill);
        c.apply(ClusterFixtures.declareLost(c.declarations(), dataCentre, true));
      }),
  DATA_CENTRE_CUT_OFF_20_S(
      true,
      30_000,
      c -> {
        Set<String> inside = c.nodes(home(c));
        Set<String> outside = c.nodes(null);
        outside.removeAll(inside);
        outside.add(FakeCluster.PLATFORM);
        link(c, inside, outside, false);
        c.schedule(20_000, () -> link(c, inside, outside, true));
      }),
  PLATFORM_DOWN_10_MIN_CONTROLLER_LOST(
      true,
      610_000,
      c -> {
        c.tableDown(true);
        c.schedule(60_000, () -> c.kill(leader(c)));
        c.schedule(600_000, () -> c.tableDown(false));
      });

  private static final int HOSTS_EACH = 8;
  private static final int UPSTREAMS = 20;
  private static final CellId CELL = CellId.of(service(Fencing.CHECKED).id(), 0);

  private final boolean planned;
  private final long observeMillis;

  @SuppressWarnings("ImmutableEnumChecker")
  private final Consumer<FakeCluster> fault;

  Drill(boolean planned, long observeMillis, Consumer<FakeCluster> fault) {
    this.planned = planned;
    this.observeMillis = observeMillis;
    this.fault = fault;
  }

  /** Returns whether slices may be unavailable only for the short gap of a planned move. */
  boolean planned() {
    return planned;
  }

  /**
   * Result of a drill.
   *
   * @param affected number of slices without a holder at some time
   * @param longestMillis longest time for which a slice had no holder
   * @param violations the violated invariants
   */
  record Result(int affected, long longestMillis, List<String> violations) {}

  Result run(long seed, Fencing fencing, SkippedStep skippedStep) {
    FakeCluster cluster =
        ClusterFixtures.cluster(seed, skippedStep, HOSTS_EACH, UPSTREAMS, service(fencing));
    cluster.run(5000);
    cluster.invariants().resetUnheldTimes();
    fault.accept(cluster);
    cluster.run(observeMillis);
    cluster.invariants().checkAllHeld();
    cluster.invariants().checkTable();
    Map<String, Long> unheld = cluster.invariants().longestUnheld();
    return new Result(
        unheld.size(),
        unheld.values().stream().mapToLong(Long::longValue).max().orElse(0),
        cluster.invariants().violations());
  }

  static Service service(Fencing fencing) {
    return ClusterFixtures.service("stock-ledger", 256, 6, fencing, Isolation.KEEP_SERVING);
  }

  private static UpstreamId owner(FakeCluster cluster) {
    return cluster.table().rows().get(CELL).assignments().at(0).owner();
  }

  private static DataCentreId home(FakeCluster cluster) {
    return cluster.table().rows().get(CELL).home();
  }

  private static String leader(FakeCluster cluster) {
    FakeMember leader = cluster.leaderOf(CELL);
    return FakeCluster.name(leader == null ? cluster.members().values().iterator().next() : leader);
  }

  private static void stop(FakeCluster cluster, String member) {
    cluster.stopGracefully(member);
    cluster.schedule(50, () -> cluster.kill(member));
  }

  private static void link(FakeCluster cluster, Set<String> a, Set<String> b, boolean up) {
    cluster.setLinks(a, b, up);
    cluster.setLinks(b, a, up);
  }
}
