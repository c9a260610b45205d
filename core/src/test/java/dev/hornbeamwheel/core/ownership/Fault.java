package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * A fault of limited duration. The text form of a sequence seeds the simulated cluster, so renaming
 * this record, its components or its kinds would change what recorded sequences do.
 *
 * @param kind the kind of fault
 * @param target selects the affected member, upstream or data centre
 * @param atMillis when it starts
 * @param forMillis its duration
 */
record Fault(Kind kind, int target, int atMillis, int forMillis) {
  enum Kind {
    CUT_MEMBER,
    CUT_MEMBER_OUTWARDS,
    CUT_MEMBER_INWARDS,
    CUT_MEMBER_FROM_PLATFORM,
    CUT_DATA_CENTRE,
    CUT_DATA_CENTRE_FROM_PLATFORM,
    CUT_UPSTREAM,
    CUT_UPSTREAM_REPLIES,
    PAUSE_MEMBER,
    PAUSE_LEADER,
    RESTART_MEMBER,
    RESTART_LEADER,
    REPLACE_MEMBER,
    STOP_MEMBER,
    FREEZE_UPSTREAM,
    RESTART_UPSTREAM,
    TABLE_DOWN,
    TABLE_SLOW,
    TABLE_LOSES_ANSWERS,
    NETWORK_LOSSY,
    DRAIN_UPSTREAM,
    DRAIN_DATA_CENTRE,
    LOSE_DATA_CENTRE
  }

  void schedule(FakeCluster cluster) {
    Runnable[] end = new Runnable[1];
    cluster.schedule(atMillis, () -> end[0] = start(cluster));
    cluster.schedule(atMillis + forMillis, () -> end[0].run());
  }

  private Runnable start(FakeCluster cluster) {
    String member = pick(cluster.members().keySet().stream());
    UpstreamId upstream = pick(cluster.upstreams().keySet().stream());
    DataCentreId dataCentre = pick(ClusterFixtures.DATA_CENTRES.stream());
    Set<String> all = cluster.nodes(null);
    all.add(FakeCluster.PLATFORM);
    return switch (kind) {
      case CUT_MEMBER -> cut(cluster, Set.of(member), all, true);
      case CUT_MEMBER_OUTWARDS -> cut(cluster, Set.of(member), all, false);
      case CUT_MEMBER_INWARDS -> cut(cluster, all, Set.of(member), false);
      case CUT_MEMBER_FROM_PLATFORM ->
          cut(cluster, Set.of(member), Set.of(FakeCluster.PLATFORM), target % 2 == 0);
      case CUT_DATA_CENTRE -> {
        all.removeAll(cluster.nodes(dataCentre));
        yield cut(cluster, cluster.nodes(dataCentre), all, true);
      }
      case CUT_DATA_CENTRE_FROM_PLATFORM ->
          cut(cluster, cluster.nodes(dataCentre), Set.of(FakeCluster.PLATFORM), true);
      case CUT_UPSTREAM -> cut(cluster, Set.of(upstream.value()), all, true);
      case CUT_UPSTREAM_REPLIES -> cut(cluster, Set.of(upstream.value()), all, false);
      case PAUSE_MEMBER -> pause(cluster, member);
      case PAUSE_LEADER -> pause(cluster, leader(cluster, member));
      case RESTART_MEMBER -> restart(cluster, member);
      case RESTART_LEADER -> restart(cluster, leader(cluster, member));
      case REPLACE_MEMBER -> replace(cluster, member);
      case STOP_MEMBER -> stop(cluster, leader(cluster, member));
      case FREEZE_UPSTREAM -> toggle(on -> cluster.freeze(upstream.value(), on));
      case RESTART_UPSTREAM -> {
        cluster.kill(upstream.value());
        yield () -> cluster.restartUpstream(upstream.value());
      }
      case TABLE_DOWN -> toggle(cluster::tableDown);
      case TABLE_SLOW -> toggle(cluster::tableSlow);
      case TABLE_LOSES_ANSWERS -> toggle(cluster::tableLosesAnswers);
      case NETWORK_LOSSY -> toggle(cluster::lossy);
      case DRAIN_UPSTREAM ->
          toggle(on -> cluster.apply(ClusterFixtures.drain(cluster.declarations(), upstream, on)));
      case DRAIN_DATA_CENTRE ->
          toggle(
              on -> cluster.apply(ClusterFixtures.drain(cluster.declarations(), dataCentre, on)));
      case LOSE_DATA_CENTRE -> loseDataCentre(cluster, dataCentre);
    };
  }

  private <T> T pick(Stream<T> from) {
    List<T> items = from.toList();
    return items.get(target % items.size());
  }

  private String leader(FakeCluster cluster, String fallback) {
    List<String> leaders =
        cluster.table().rows().keySet().stream()
            .map(cluster::leaderOf)
            .filter(found -> found != null)
            .map(FakeCluster::name)
            .toList();
    return leaders.isEmpty() ? fallback : leaders.get(target % leaders.size());
  }

  private static Runnable cut(
      FakeCluster cluster, Set<String> from, Set<String> to, boolean bothWays) {
    cluster.setLinks(from, to, false);
    if (bothWays) {
      cluster.setLinks(to, from, false);
    }
    return () -> {
      cluster.setLinks(from, to, true);
      cluster.setLinks(to, from, true);
    };
  }

  private static Runnable toggle(Consumer<Boolean> state) {
    state.accept(true);
    return () -> state.accept(false);
  }

  private static Runnable pause(FakeCluster cluster, String member) {
    return toggle(on -> cluster.pause(member, on));
  }

  private static Runnable restart(FakeCluster cluster, String member) {
    DataCentreId dataCentre = cluster.members().get(member).dataCentre();
    cluster.kill(member);
    return () -> cluster.start(member, dataCentre);
  }

  private Runnable replace(FakeCluster cluster, String member) {
    DataCentreId dataCentre = cluster.members().get(member).dataCentre();
    cluster.kill(member);
    return () -> {
      cluster.decommission(member);
      cluster.start("new-" + atMillis + "-" + member, dataCentre);
    };
  }

  private static Runnable stop(FakeCluster cluster, String member) {
    DataCentreId dataCentre = cluster.members().get(member).dataCentre();
    cluster.stopGracefully(member);
    FakeMember stopping = cluster.members().get(member);
    cluster.schedule(
        50,
        () -> {
          if (cluster.members().get(member) == stopping) {
            cluster.kill(member);
          }
        });
    return () -> cluster.start(member, dataCentre);
  }

  private static Runnable loseDataCentre(FakeCluster cluster, DataCentreId dataCentre) {
    Declarations before = cluster.declarations();
    if (!before.lostDataCentres().isEmpty()) {
      return () -> {};
    }
    Set<String> nodes = cluster.nodes(dataCentre);
    nodes.forEach(cluster::kill);
    cluster.apply(ClusterFixtures.declareLost(before, dataCentre, true));
    return () -> {
      cluster.apply(ClusterFixtures.declareLost(cluster.declarations(), dataCentre, false));
      nodes.stream()
          .filter(cluster.members()::containsKey)
          .forEach(n -> cluster.start(n, dataCentre));
      nodes.stream()
          .filter(node -> !cluster.members().containsKey(node))
          .forEach(cluster::restartUpstream);
    };
  }
}
