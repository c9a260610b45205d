package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.config.Fencing;
import dev.hornbeamwheel.core.config.Isolation;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.config.ServiceKind;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.limits.ContractGroups;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.stream.Stream;

/**
 * Cells whose leaders arbitrate the contracts of one data centre.
 *
 * <p>They are cells of a service that no operator declares: one for each group of contracts, pinned
 * to the data centre by an upstream that exists in name only. A pooled service has no grants, so
 * nothing is ever sent to it.
 */
final class LimitsCells {
  private static final String PREFIX = "limits:";
  private static final ColdStart NO_COLD_START = new ColdStart(1, 1, 0);
  private static final long NO_DEADLINE_MILLIS = 1;

  private LimitsCells() {}

  /** Returns the cell whose leader arbitrates a group of contracts in a data centre. */
  static CellId cell(DataCentreId dataCentre, int group) {
    return CellId.of(service(dataCentre), group);
  }

  /** Returns whether a cell is one of these, of any data centre. */
  static boolean contains(CellId cell) {
    return cell.service().value().startsWith(PREFIX);
  }

  /** Returns whether a cell is one of these, of the given data centre. */
  static boolean contains(CellId cell, DataCentreId dataCentre) {
    return cell.service().equals(service(dataCentre));
  }

  /** Returns a configuration that declares these cells of one data centre as well. */
  static Configuration addTo(Configuration configuration, DataCentreId dataCentre) {
    Declarations declared = configuration.declarations();
    if (declared.dataCentres().stream().noneMatch(each -> each.id().equals(dataCentre))) {
      return configuration;
    }
    return new Configuration(
        configuration.version(),
        new Declarations(
            declared.dataCentres(),
            with(declared.services(), declaration(dataCentre)),
            with(declared.upstreams(), anchor(dataCentre)),
            declared.contracts(),
            declared.drainedUpstreams(),
            declared.drainedDataCentres(),
            declared.lostDataCentres()));
  }

  private static ServiceId service(DataCentreId dataCentre) {
    return ServiceId.of(PREFIX + dataCentre);
  }

  private static Service declaration(DataCentreId dataCentre) {
    return new Service(
        service(dataCentre),
        ServiceKind.POOLED,
        ContractGroups.COUNT,
        ContractGroups.COUNT,
        Fencing.CHECKED,
        Isolation.KEEP_SERVING,
        NO_COLD_START,
        NO_DEADLINE_MILLIS);
  }

  private static Upstream anchor(DataCentreId dataCentre) {
    return new Upstream(
        UpstreamId.of(PREFIX + dataCentre), service(dataCentre), dataCentre, "", 1, 1);
  }

  private static <T> List<T> with(List<T> list, T added) {
    return Stream.concat(list.stream(), Stream.of(added)).toList();
  }
}
