package dev.hornbeamwheel.controller;

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
import dev.hornbeamwheel.core.model.RegionId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.ownership.Assignments;
import dev.hornbeamwheel.core.ownership.CellRow;
import java.util.List;
import java.util.Set;

/** One data centre with one keyed service of one cell and one upstream. */
final class Samples {
  static final DataCentreId QUIMPER = DataCentreId.of("quimper");
  static final ServiceId SERVICE = ServiceId.of("stock-ledger");
  static final CellId CELL = CellId.of(SERVICE, 0);
  static final UpstreamId UPSTREAM = UpstreamId.of("ledger-1");
  static final int SHARDS = 8;

  private Samples() {}

  static Configuration configuration(long version) {
    Service service =
        new Service(
            SERVICE,
            ServiceKind.KEYED,
            SHARDS,
            1,
            Fencing.CHECKED,
            Isolation.KEEP_SERVING,
            new ColdStart(10, 100, 1_000),
            1_000);
    return new Configuration(
        version,
        new Declarations(
            List.of(new DataCentre(QUIMPER, RegionId.of("armor"))),
            List.of(service),
            List.of(new Upstream(UPSTREAM, SERVICE, QUIMPER, "127.0.0.1:9000", 2, 300)),
            List.of(),
            Set.of(),
            Set.of(),
            Set.of()));
  }

  static CellRow row() {
    return new CellRow(
        CELL, 1, 1, QUIMPER, List.of(), List.of(), List.of(), Assignments.empty(), "op-1");
  }
}
