package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.config.DataCentre;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.config.Fencing;
import dev.hornbeamwheel.core.config.Isolation;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.config.ServiceKind;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.RegionId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Builds declarations and simulated clusters for tests. */
final class ClusterFixtures {
  static final List<DataCentreId> DATA_CENTRES =
      List.of(DataCentreId.of("quimper"), DataCentreId.of("morlaix"), DataCentreId.of("vannes"));

  private ClusterFixtures() {}

  static Service service(String name, int shards, int cells, Fencing fencing, Isolation isolation) {
    return new Service(
        ServiceId.of(name),
        ServiceKind.KEYED,
        shards,
        cells,
        fencing,
        isolation,
        new ColdStart(1, 10, 1000),
        1000);
  }

  static List<Upstream> upstreams(Service service, int count) {
    List<Upstream> upstreams = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      UpstreamId id = UpstreamId.of(service.id() + "-" + i);
      upstreams.add(new Upstream(id, service.id(), DATA_CENTRES.get(i % 3), "127.0.0.1:1", 2, 300));
    }
    return upstreams;
  }

  /** Returns a running cluster with three data centres, without faults. */
  static FakeCluster cluster(
      long seed, SkippedStep skippedStep, int hostsEach, int upstreamsEach, Service... services) {
    FakeCluster cluster = new FakeCluster(seed, skippedStep);
    List<Upstream> upstreams = new ArrayList<>();
    for (Service service : services) {
      upstreams.addAll(upstreams(service, upstreamsEach));
      upstreams(service, upstreamsEach).forEach(upstream -> cluster.add(upstream, service));
    }
    for (DataCentreId dataCentre : DATA_CENTRES) {
      for (int i = 0; i < hostsEach; i++) {
        cluster.start(dataCentre + "-" + i + "/controller", dataCentre);
      }
    }
    cluster.apply(
        new Declarations(
            DATA_CENTRES.stream().map(id -> new DataCentre(id, RegionId.of("armor"))).toList(),
            List.of(services),
            upstreams,
            List.of(),
            Set.of(),
            Set.of(),
            Set.of()));
    cluster.startBackgroundTasks();
    cluster.run(5000);
    return cluster;
  }

  /** Returns declarations with the given drained and lost upstreams and data centres. */
  static Declarations withDrains(
      Declarations base,
      Set<UpstreamId> drained,
      Set<DataCentreId> drainedDataCentres,
      Set<DataCentreId> lost) {
    return new Declarations(
        base.dataCentres(),
        base.services(),
        base.upstreams(),
        base.contracts(),
        drained,
        drainedDataCentres,
        lost);
  }

  static Declarations drain(Declarations base, UpstreamId upstream, boolean out) {
    Set<UpstreamId> drained = new HashSet<>(base.drainedUpstreams());
    change(drained, upstream, out);
    return withDrains(base, drained, base.drainedDataCentres(), base.lostDataCentres());
  }

  static Declarations drain(Declarations base, DataCentreId dataCentre, boolean out) {
    Set<DataCentreId> drained = new HashSet<>(base.drainedDataCentres());
    change(drained, dataCentre, out);
    return withDrains(base, base.drainedUpstreams(), drained, base.lostDataCentres());
  }

  static Declarations declareLost(Declarations base, DataCentreId dataCentre, boolean lost) {
    Set<DataCentreId> dataCentres = new HashSet<>(base.lostDataCentres());
    change(dataCentres, dataCentre, lost);
    return withDrains(base, base.drainedUpstreams(), base.drainedDataCentres(), dataCentres);
  }

  private static <T> void change(Set<T> set, T item, boolean in) {
    if (in) {
      set.add(item);
    } else {
      set.remove(item);
    }
  }
}
