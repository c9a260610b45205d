package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.log.LogEntry;
import java.util.function.Consumer;

/** Takes over into the catalog what the store reports, and logs it. */
final class CatalogEvents {
  private final Catalog catalog;
  private final Consumer<LogEntry> log;

  CatalogEvents(Catalog catalog, Consumer<LogEntry> log) {
    this.catalog = catalog;
    this.log = log;
  }

  /** Applies an event to the catalog; other events are ignored. */
  void apply(long now, HostEvent event) {
    if (event instanceof HostEvent.ConfigurationRead read) {
      if (catalog.configure(read.configuration())) {
        log.accept(LogEntry.of("configuration").with("version", read.configuration().version()));
        read.configuration().organisations().problems().stream()
            .map(problem -> LogEntry.failure("organisation-left-out").with("reason", problem))
            .forEach(log);
      }
    } else if (event instanceof HostEvent.UpstreamsRead read) {
      catalog.replaceUpstreams(now, read.entries());
      log.accept(LogEntry.of("upstreams-read").with("count", read.entries().size()));
    } else if (event instanceof HostEvent.UpstreamChanged changed) {
      catalog.putUpstream(changed.entry());
      log.accept(upstreamChanged(now, changed.entry()));
    } else if (event instanceof HostEvent.UpstreamRemoved removed) {
      catalog.removeUpstream(now, removed.upstream());
      log.accept(LogEntry.of("upstream-removed").with("upstream", removed.upstream().value()));
    } else if (event instanceof HostEvent.EvacuationsRead read) {
      catalog.evacuate(read.dataCentres());
      log.accept(LogEntry.of("evacuations").with("dataCentres", read.dataCentres().toString()));
    } else if (event instanceof HostEvent.StoreReturned returned) {
      catalog.storeReturned(returned.outageMillis(), returned.lastFailedCallAtMillis());
    }
  }

  private static LogEntry upstreamChanged(long now, UpstreamRegistration entry) {
    return LogEntry.of("upstream-changed")
        .with("upstream", entry.id().value())
        .with("service", entry.service().value())
        .with("address", entry.address().toString())
        .with("dataCentre", entry.dataCentre().value())
        .with("draining", entry.draining() ? 1 : 0)
        .with("coldMillis", Math.max(0, entry.coldUntilMillis() - now));
  }
}
