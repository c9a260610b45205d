package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A request that needs a slot at an upstream.
 *
 * @param link the host that asks
 * @param id number of the request, unique within the host
 * @param from data centre of the host
 * @param service the service that is to serve it
 * @param key the key, if the service is divided by key
 * @param priority rank; zero goes first
 * @param arrivedMillis when the coordinator was asked
 * @param deadlineMillis when the caller gives up, or the route's timeout passes
 * @param targetMillis when the caller wants the answer
 * @param large whether the answer is large
 * @param avoid upstreams that the host cannot use now
 */
public record Ask(
    LinkId link,
    long id,
    DataCentreId from,
    ServiceId service,
    OptionalInt key,
    int priority,
    long arrivedMillis,
    long deadlineMillis,
    long targetMillis,
    boolean large,
    Set<UpstreamId> avoid) {
  /** Copies the set. */
  public Ask {
    avoid = Set.copyOf(avoid);
  }

  Ticket ticket() {
    return new Ticket(link, id);
  }
}
