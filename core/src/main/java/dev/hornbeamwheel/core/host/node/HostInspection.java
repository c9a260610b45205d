package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.catalog.CallerLimits;
import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.request.RequestFlow;
import dev.hornbeamwheel.core.host.request.RouteQuery;
import dev.hornbeamwheel.core.host.shares.ShareStatistics;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.recovery.Quarantine;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/** What metrics and operators read from an entry host; changes no state. */
public final class HostInspection {
  private final Catalog catalog;
  private final Quarantine quarantine;
  private final RequestFlow requestFlow;
  private final Supplier<Optional<Coordinator>> coordinator;

  HostInspection(
      Catalog catalog,
      Quarantine quarantine,
      RequestFlow requestFlow,
      Supplier<Optional<Coordinator>> coordinator) {
    this.catalog = catalog;
    this.quarantine = quarantine;
    this.requestFlow = requestFlow;
    this.coordinator = coordinator;
  }

  /** Returns the requests that are refused because they crash upstreams. */
  public List<Quarantine.Entry> quarantined(long nowMillis) {
    return quarantine.entries(nowMillis);
  }

  /** Returns the learned limits of upstreams that are lower than their slots. */
  public Map<UpstreamId, Integer> upstreamLimits() {
    return requestFlow.hostLimits().asMap();
  }

  /** Returns the limits on requests of callers, or empty before the first configuration. */
  public Optional<CallerLimits> limits() {
    return catalog.configuration().map(FleetConfiguration::limits);
  }

  /** Returns the use of this host's shares of services. */
  public List<ShareStatistics> shareStatistics(long nowMillis) {
    return requestFlow.shares().statistics(nowMillis);
  }

  /** Returns the statistics of this host as the coordinator, or empty if it is not. */
  public Optional<CoordinatorStatistics> coordinatorStatistics() {
    return coordinator.get().map(Coordinator::statistics);
  }

  /** Explains where a request would be routed if it arrived now. */
  public List<LogEntry> explain(long nowMillis, RouteQuery query) {
    return requestFlow
        .explainer()
        .explain(nowMillis, query, coordinator.get().map(Coordinator::slotExplainer));
  }
}
