package dev.hornbeamwheel.core.host.shares;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.List;

/**
 * What a host knows of a service when it needs a share of it.
 *
 * @param service the service
 * @param upstreams its usable upstreams
 * @param targetMillis latency target of the request's route, in milliseconds
 */
public record SharedService(
    ServiceId service, List<UpstreamRegistration> upstreams, long targetMillis) {
  /**
   * Minimum number of slots of the upstreams of a limited service. With fewer, the share of a host
   * is less than one request at a time, and refusals cost more than full queues.
   */
  static final int MIN_SLOTS = 3;

  /** Returns whether the requests of hosts without a coordinator are limited. */
  boolean limited() {
    return upstreams.stream().anyMatch(SharedService::limited);
  }

  static boolean limited(UpstreamRegistration upstream) {
    return upstream.slots() >= MIN_SLOTS;
  }

  int slots() {
    return upstreams.stream().mapToInt(UpstreamRegistration::slots).sum();
  }
}
