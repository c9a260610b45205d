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

/** Shows for each step of the protocol that an oracle notices when the step is left out. */
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

  private static void assertCaught(List<Fault> faults, SkippedStep shortcut, String expected) {
    assertThat(OwnershipFuzz.violations(faults, shortcut))
        .anyMatch(text -> text.contains(expected));
    assertThat(OwnershipFuzz.violations(faults, SkippedStep.NONE)).isEmpty();
  }

  @Test
  void twoOwnersAreFoundWhenAnEarlierNumberIsNotSealed() {
    assertThat(cutOffWhileGivingTheCellAway(SkippedStep.NO_SEAL))
        .anyMatch(text -> text.contains("held by"));
    assertThat(cutOffWhileGivingTheCellAway(SkippedStep.NONE)).isEmpty();
  }

  /** The leader writes a row with another home and, before it knows, is cut off with its voters. */
  private static List<String> cutOffWhileGivingTheCellAway(SkippedStep shortcut) {
    FakeCluster cluster = ClusterFixtures.cluster(7, shortcut, 3, 6, UNCHECKED);
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
    assertThat(cutOffAfterAWrite(SkippedStep.NO_REPLICATION))
        .anyMatch(text -> text.contains("held by"));
    assertThat(cutOffAfterAWrite(SkippedStep.NONE)).isEmpty();
  }

  /** The leader writes a move and is cut off from the other voters; then the platform is down. */
  private static List<String> cutOffAfterAWrite(SkippedStep shortcut) {
    FakeCluster cluster = ClusterFixtures.cluster(7, shortcut, 3, 6, CHECKED);
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

  private static void runUntil(FakeCluster cluster, Service service, Predicate<CellRow> holds) {
    while (!holds.test(row(cluster, service)) && cluster.now() < 60_000) {
      cluster.run(1);
    }
  }

  private static Set<String> controllers(FakeCluster cluster, DataCentreId place) {
    Set<String> nodes = new TreeSet<>(cluster.nodes(place));
    nodes.retainAll(cluster.members().keySet());
    return nodes;
  }

  private static void cut(FakeCluster cluster, Set<String> a, Set<String> b) {
    cluster.invariants().healthy(false);
    cluster.setLinks(a, b, false);
    cluster.setLinks(b, a, false);
  }
}
