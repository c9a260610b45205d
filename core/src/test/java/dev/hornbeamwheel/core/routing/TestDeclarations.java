package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.claims.ClaimTerm;
import dev.hornbeamwheel.core.claims.ClaimVoter;
import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.config.DataCentre;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.config.Fencing;
import dev.hornbeamwheel.core.config.Isolation;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.config.ServiceKind;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RegionId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/** Declarations and ownership rows that a routing test publishes. */
final class TestDeclarations {
  static final DataCentreId QUIMPER = DataCentreId.of("quimper");
  static final ServiceId POOLED = ServiceId.of("order-desk");
  static final ServiceId KEYED = ServiceId.of("stock-ledger");
  static final List<ServiceId> SERVICES = List.of(POOLED, KEYED);
  static final int SLOTS = 2;
  private static final int UPSTREAMS = 5;
  private static final int SHARDS = 8;
  private static final long DEADLINE_MILLIS = 1_500;

  final List<Upstream> upstreams = new ArrayList<>();
  final Set<UpstreamId> drained = new HashSet<>();
  private final ColdStart declaredColdStart;
  private long version;
  private long rowVersion;
  private long epoch = 1;

  TestDeclarations(ColdStart declaredColdStart) {
    this.declaredColdStart = declaredColdStart;
    SERVICES.forEach(service -> IntStream.range(0, UPSTREAMS).forEach(i -> add(service, i)));
  }

  void drain(UpstreamId upstream) {
    drained.add(upstream);
    epoch++;
  }

  void moveKeys() {
    epoch++;
  }

  Configuration nextConfiguration() {
    version++;
    return configuration();
  }

  Configuration configuration() {
    List<Service> services =
        List.of(service(POOLED, ServiceKind.POOLED, 1), service(KEYED, ServiceKind.KEYED, SHARDS));
    return new Configuration(
        version,
        new Declarations(
            List.of(new DataCentre(QUIMPER, RegionId.of("armor"))),
            services,
            upstreams,
            List.of(),
            drained,
            Set.of(),
            Set.of()));
  }

  /** Returns the next version of the rows of both services under the given term. */
  List<OwnershipRow> rows(ClaimTerm term) {
    rowVersion++;
    List<MemberId> voters = term.voters().stream().map(ClaimVoter::member).toList();
    List<UpstreamId> owners =
        upstreams.stream()
            .filter(u -> u.service().equals(KEYED))
            .map(Upstream::id)
            .filter(u -> !drained.contains(u))
            .toList();
    OwnershipRow.Builder keyed =
        OwnershipRow.builder(CellId.of(KEYED, 0), term.number(), rowVersion, voters, owners);
    IntStream.range(0, SHARDS)
        .forEach(s -> keyed.slice(s, 0, (int) ((s + epoch) % owners.size()), epoch, false));
    OwnershipRow.Builder pooled =
        OwnershipRow.builder(CellId.of(POOLED, 0), term.number(), rowVersion, voters, List.of());
    return List.of(keyed.build(), pooled.build());
  }

  private Service service(ServiceId id, ServiceKind kind, int shards) {
    return new Service(
        id,
        kind,
        shards,
        1,
        Fencing.CHECKED,
        Isolation.KEEP_SERVING,
        declaredColdStart,
        DEADLINE_MILLIS);
  }

  private void add(ServiceId service, int number) {
    UpstreamId id = UpstreamId.of(service + "-" + number);
    String address = "127.0.0.1:" + (9_000 + number);
    upstreams.add(new Upstream(id, service, QUIMPER, address, SLOTS, 100));
  }
}
