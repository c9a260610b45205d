package dev.hornbeamwheel.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.config.Fencing;
import dev.hornbeamwheel.core.config.Isolation;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/**
 * Checks that the invariants detect the omission of a protocol step, so that passing fuzz runs are
 * meaningful.
 */
class SkippedStepTest {
  private static final Service CHECKED =
      ClusterFixtures.service("stock-ledger", 8, 1, Fencing.CHECKED, Isolation.KEEP_SERVING);
  private static final Service UNCHECKED =
      ClusterFixtures.service("baymap", 8, 1, Fencing.UNCHECKED, Isolation.KEEP_SERVING);

  @Test
  void twoOwnersAreFoundWhenALeaseIsNotAwaited() {
    List<Fault> faults =
        List.of(
            new Fault(Fault.Kind.RESTART_MEMBER, 28, 2876, 648),
            new Fault(Fault.Kind.NETWORK_LOSSY, 18, 3911, 5238));
    assertCaught(faults, SkippedStep.NO_LEASE_WAIT, "held by");
  }

  @Test
  void twoOwnersAreFoundWhenAReleaseIsNotAwaited() {
    assertCaught(
        List.of(new Fault(Fault.Kind.DRAIN_UPSTREAM, 10, 2044, 5381)),
        SkippedStep.NO_RELEASE_ACK,
        "held by");
  }

  @Test
  void lostAssignmentIsFoundWhenItIsActedOnBeforeItsWrite() {
    assertCaught(
        List.of(new Fault(Fault.Kind.TABLE_DOWN, 25, 31, 3389)),
        SkippedStep.ACT_BEFORE_WRITE,
        "acknowledged");
  }

  private static void assertCaught(List<Fault> faults, SkippedStep skippedStep, String expected) {
    assertThat(OwnershipFuzz.violations(faults, skippedStep))
        .anyMatch(text -> text.contains(expected));
    assertThat(OwnershipFuzz.violations(faults, SkippedStep.NONE)).isEmpty();
  }

  @Test
  void twoOwnersAreFoundWhenAnEarlierTermNumberIsNotSealed() {
    assertThat(partitionedWhileChangingTheHome(SkippedStep.NO_SEAL))
        .anyMatch(text -> text.contains("held by"));
    assertThat(partitionedWhileChangingTheHome(SkippedStep.NONE)).isEmpty();
  }

  /**
   * The leader writes a row with another home, and it is partitioned off together with its voters
   * before it learns that the write succeeded.
   */
  private static List<String> partitionedWhileChangingTheHome(SkippedStep skippedStep) {
    FakeCluster cluster = ClusterFixtures.cluster(7, skippedStep, 3, 6, UNCHECKED);
    CellRow before = row(cluster, UNCHECKED);
    DataCentreId home = before.home();
    cluster.tableLosesAnswers(true);
    cluster.apply(ClusterFixtures.drain(cluster.declarations(), home, true));
    runUntil(cluster, UNCHECKED, row -> row.termNumber() > before.termNumber());
    Set<String> inside = controllers(cluster, home);
    Set<String> outside = controllers(cluster, null);
    outside.removeAll(inside);
    outside.add(FakeCluster.PLATFORM);
    cut(cluster, inside, outside);
    outside.forEach(member -> cluster.learn(member, row(cluster, UNCHECKED)));
    cluster.run(10_000);
    return cluster.invariants().violations();
  }

  @Test
  void twoOwnersAreFoundWhenARowIsNotReplicated() {
    assertThat(partitionedAfterAWrite(SkippedStep.NO_REPLICATION))
        .anyMatch(text -> text.contains("held by"));
    assertThat(partitionedAfterAWrite(SkippedStep.NONE)).isEmpty();
  }

  /**
   * The leader writes a move and is partitioned off from the other voters; then the platform fails.
   */
  private static List<String> partitionedAfterAWrite(SkippedStep skippedStep) {
    FakeCluster cluster = ClusterFixtures.cluster(7, skippedStep, 3, 6, CHECKED);
    CellRow before = row(cluster, CHECKED);
    String leader = FakeCluster.name(cluster.leaderOf(before.cell()));
    cluster.apply(
        ClusterFixtures.drain(cluster.declarations(), before.assignments().at(0).owner(), true));
    runUntil(cluster, CHECKED, row -> row.version() > before.version());
    cut(cluster, Set.of(leader), controllers(cluster, null));
    cluster.run(10);
    cluster.tableDown(true);
    cluster.run(5000);
    return cluster.invariants().violations();
  }

  private static CellRow row(FakeCluster cluster, Service service) {
    return cluster.table().rows().get(CellId.of(service.id(), 0));
  }

  private static void runUntil(FakeCluster cluster, Service service, Predicate<CellRow> condition) {
    while (!condition.test(row(cluster, service)) && cluster.now() < 60_000) {
      cluster.run(1);
    }
  }

  private static Set<String> controllers(FakeCluster cluster, DataCentreId dataCentre) {
    Set<String> nodes = new TreeSet<>(cluster.nodes(dataCentre));
    nodes.retainAll(cluster.members().keySet());
    return nodes;
  }

  private static void cut(FakeCluster cluster, Set<String> a, Set<String> b) {
    cluster.invariants().healthy(false);
    cluster.setLinks(a, b, false);
    cluster.setLinks(b, a, false);
  }
}
