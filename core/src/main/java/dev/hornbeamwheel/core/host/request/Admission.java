package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.catalog.Route;
import dev.hornbeamwheel.core.host.catalog.ServiceSpec;
import dev.hornbeamwheel.core.host.organisations.CallerIdentity;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.Optional;
import java.util.Random;

/** Routes the requests of callers by the configuration, or rejects them on arrival. */
final class Admission {
  private final Catalog catalog;
  private final FinalResponses responses;
  private final WeightedRoundRobin serviceSelector;
  private final LatencyTargets targets = new LatencyTargets();
  private ShutdownSchedule shutdown = ShutdownSchedule.none();

  Admission(Catalog catalog, FinalResponses responses, Random random) {
    this.catalog = catalog;
    this.responses = responses;
    this.serviceSelector = new WeightedRoundRobin(random);
  }

  /** Records that the process is shutting down. */
  void shutdownStarted(ShutdownSchedule schedule) {
    shutdown = schedule;
  }

  /** Returns a request with its route and service, or empty if it is rejected. */
  Optional<InFlightRequest> admit(long nowMillis, RequestRef ref, RequestHead head) {
    Optional<FleetConfiguration> configuration = catalog.configuration();
    if (configuration.isEmpty() || !catalog.loaded()) {
      return reject(ref, head, ErrorResponse.NOT_READY);
    }
    Optional<Route> route = configuration.get().route(head.host(), head.path());
    if (route.isEmpty()) {
      return reject(ref, head, ErrorResponse.NO_ROUTE);
    }
    Optional<CallerIdentity> caller =
        configuration.get().organisations().identify(head.apiKey(), route.get().publicRoute());
    if (caller.isEmpty()) {
      return reject(ref, head, ErrorResponse.UNAUTHORIZED);
    }
    ServiceId service = serviceSelector.next(route.get());
    boolean keyed = configuration.get().service(service).map(ServiceSpec::keyed).orElse(false);
    if (keyed && head.key().isEmpty()) {
      return reject(ref, head, ErrorResponse.KEY_MISSING);
    }
    InFlightRequest request =
        new InFlightRequest(
            ref,
            head,
            caller.get(),
            route.get(),
            service,
            keyed,
            nowMillis,
            targets.targetMillis(nowMillis, route.get(), head));
    if (!shutdown.accepts(nowMillis, request.deadlineMillis)) {
      return reject(ref, head, ErrorResponse.NOT_READY);
    }
    return Optional.of(request);
  }

  private Optional<InFlightRequest> reject(RequestRef ref, RequestHead head, ErrorResponse error) {
    responses.rejectUnrouted(ref, head, error);
    return Optional.empty();
  }
}
