package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** How many asks of one service wait ahead, for each upstream that alone can serve them. */
final class Backlog {
  private final Map<Optional<UpstreamId>, Integer> asks = new HashMap<>();
  private final boolean serviceCrowded;

  /**
   * Creates an empty backlog.
   *
   * @param serviceCrowded whether the upstreams of the service have too little room altogether
   */
  Backlog(boolean serviceCrowded) {
    this.serviceCrowded = serviceCrowded;
  }

  boolean serviceCrowded() {
    return serviceCrowded;
  }

  /** Adds asks; {@code server} is empty if any upstream can serve them. */
  void add(Optional<UpstreamId> server, int more) {
    asks.merge(server, more, Integer::sum);
  }

  int ahead(Optional<UpstreamId> server) {
    return asks.getOrDefault(server, 0);
  }
}
