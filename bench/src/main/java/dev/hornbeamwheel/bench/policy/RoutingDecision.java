package dev.hornbeamwheel.bench.policy;

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
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.Key;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RegionId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.routing.AttemptOutcome;
import dev.hornbeamwheel.core.routing.OwnershipRow;
import dev.hornbeamwheel.core.routing.Peer;
import dev.hornbeamwheel.core.routing.RoutingEffect;
import dev.hornbeamwheel.core.routing.RoutingEvent;
import dev.hornbeamwheel.core.routing.RoutingReducer;
import dev.hornbeamwheel.core.routing.RoutingSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Time and allocation of one keyed request through the routing reducer at 131,072 shards. */
final class RoutingDecision {
  private static final int SHARDS = 131_072;
  private static final int UPSTREAMS = 20;
  private static final int KEYS = 1_024;
  private static final int REQUESTS = 1_000_000;
  private static final long DEADLINE_MILLIS = 1_000;
  private static final DataCentreId QUIMPER = DataCentreId.of("quimper");
  private static final ServiceId SERVICE = ServiceId.of("stock-ledger");

  private final List<Key> keys = new ArrayList<>();
  private final List<RequestId> ids = new ArrayList<>();
  private final ContractId contract = ContractId.of("mill");
  private RoutingReducer reducer;
  private long nowMillis = 1;
  private int next;

  static void print(int rounds) {
    RoutingDecision decision = new RoutingDecision();
    System.out.printf("%nRouting decision, %d shards, one keyed request and its answer%n", SHARDS);
    System.out.println("| round | ns | bytes allocated | effects |");
    System.out.println("| --- | --- | --- | --- |");
    for (int round = 1; round <= rounds; round++) {
      decision.print(round, ThreadAllocation.bytes(), System.nanoTime());
    }
  }

  private void print(int round, long bytesBefore, long nanosBefore) {
    long effects = 0;
    for (int i = 0; i < REQUESTS; i++) {
      effects += routeAndAnswer().size();
    }
    long nanos = System.nanoTime() - nanosBefore;
    long bytes = ThreadAllocation.bytes() - bytesBefore;
    System.out.printf(
        "| %d | %d | %d | %.2f |%n",
        round, nanos / REQUESTS, bytes / REQUESTS, (double) effects / REQUESTS);
  }

  /** Declares the service and gives every shard an owner. */
  RoutingDecision() {
    MemberId self = MemberId.of("quimper-1/router");
    Incarnation incarnation = Incarnation.of(1);
    reducer = RoutingReducer.create(new RoutingSettings(self, incarnation, QUIMPER, 1));
    List<Upstream> upstreams = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      UpstreamId id = UpstreamId.of("stock-ledger-" + i);
      upstreams.add(new Upstream(id, SERVICE, QUIMPER, "127.0.0.1:" + (9_000 + i), 2, 300));
    }
    reducer.reduce(new RoutingEvent.ConfigurationChanged(nowMillis, configuration(upstreams)));
    List<Peer> peers = List.of(new Peer(self, incarnation, QUIMPER));
    reducer.reduce(new RoutingEvent.MembersChanged(nowMillis, peers));
    List<UpstreamId> owners = upstreams.stream().map(Upstream::id).toList();
    OwnershipRow.Builder row = OwnershipRow.builder(CellId.of(SERVICE, 0), 1, 1, List.of(), owners);
    for (int shard = 0; shard < SHARDS; shard++) {
      row.slice(shard, 0, shard % UPSTREAMS, 1, false);
    }
    reducer.reduce(new RoutingEvent.OwnershipRowReceived(nowMillis, row.build()));
    for (int i = 0; i < KEYS; i++) {
      keys.add(Key.of("mill-" + i));
      ids.add(RequestId.of("request-" + i));
    }
    warmUp();
  }

  /** Routes one request to its owner and takes its answer in. */
  List<RoutingEffect> routeAndAnswer() {
    int index = next++ & (KEYS - 1);
    if (index == 0) {
      nowMillis += 5;
      reducer.reduce(new RoutingEvent.Tick(nowMillis));
    }
    RequestId id = ids.get(index);
    reducer.reduce(
        new RoutingEvent.RequestArrived(
            nowMillis,
            id,
            contract,
            SERVICE,
            keys.get(index),
            true,
            null,
            index,
            nowMillis + DEADLINE_MILLIS));
    return reducer.reduce(
        new RoutingEvent.AttemptFinished(nowMillis, id, 1, 1, new AttemptOutcome.Completed(200)));
  }

  /** Lets the dispatcher be backed and every upstream become warm. */
  private void warmUp() {
    for (int i = 0; i < 200 * KEYS; i++) {
      routeAndAnswer();
    }
  }

  private static Configuration configuration(List<Upstream> upstreams) {
    Service service =
        new Service(
            SERVICE,
            ServiceKind.KEYED,
            SHARDS,
            1,
            Fencing.CHECKED,
            Isolation.KEEP_SERVING,
            new ColdStart(1_000_000, 1_000_001, 1),
            DEADLINE_MILLIS);
    return new Configuration(
        1,
        new Declarations(
            List.of(new DataCentre(QUIMPER, RegionId.of("armor"))),
            List.of(service),
            upstreams,
            List.of(),
            Set.of(),
            Set.of(),
            Set.of()));
  }
}
