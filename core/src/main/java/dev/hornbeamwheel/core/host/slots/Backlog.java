package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** How many asks of one service wait ahead, for each upstream that alone can serve them. */
final class Backlog {
  private final Map<Optional<UpstreamId>, Integer> counts = new HashMap<>();
  private final boolean serviceSaturated;

  /**
   * Creates an empty backlog.
   *
   * @param serviceCrowded whether the upstreams of the service have too little room altogether
   */
  Backlog(boolean serviceCrowded) {
    this.serviceSaturated = serviceCrowded;
  }

  boolean serviceSaturated() {
    return serviceSaturated;
  }

  /** Adds asks; {@code server} is empty if any upstream can serve them. */
  void add(Optional<UpstreamId> server, int more) {
    counts.merge(server, more, Integer::sum);
  }

  int ahead(Optional<UpstreamId> server) {
    return counts.getOrDefault(server, 0);
  }
}
