package dev.hornbeamwheel.core.config;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Set;

/**
 * All that operators declare, as one checked whole.
 *
 * @param dataCentres the data centres
 * @param services the services
 * @param upstreams the upstreams
 * @param contracts the contracts
 * @param drainedUpstreams upstreams that operators have taken out of service
 * @param drainedDataCentres data centres that operators have taken out of service
 * @param lostDataCentres data centres that operators have declared lost
 */
public record Declarations(
    List<DataCentre> dataCentres,
    List<Service> services,
    List<Upstream> upstreams,
    List<Contract> contracts,
    Set<UpstreamId> drainedUpstreams,
    Set<DataCentreId> drainedDataCentres,
    Set<DataCentreId> lostDataCentres) {
  /** Copies the collections. */
  public Declarations {
    dataCentres = List.copyOf(dataCentres);
    services = List.copyOf(services);
    upstreams = List.copyOf(upstreams);
    contracts = List.copyOf(contracts);
    drainedUpstreams = Set.copyOf(drainedUpstreams);
    drainedDataCentres = Set.copyOf(drainedDataCentres);
    lostDataCentres = Set.copyOf(lostDataCentres);
  }

  /** Returns declarations that declare nothing. */
  public static Declarations empty() {
    return new Declarations(
        List.of(), List.of(), List.of(), List.of(), Set.of(), Set.of(), Set.of());
  }

  /** Returns whether an upstream is out of service, by itself or with its data centre. */
  public boolean drained(Upstream upstream) {
    return drainedUpstreams.contains(upstream.id())
        || drainedDataCentres.contains(upstream.dataCentre())
        || lostDataCentres.contains(upstream.dataCentre());
  }
}
