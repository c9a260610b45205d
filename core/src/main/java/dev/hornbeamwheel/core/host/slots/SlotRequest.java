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
 * @param number number of the request, unique within the host
 * @param dataCentre data centre of the host
 * @param service the service that is to serve it
 * @param key the key, if the service is divided by key
 * @param priority rank; zero goes first
 * @param arrivedMillis when the coordinator was asked
 * @param deadlineMillis when the caller gives up, or the route's timeout passes
 * @param targetMillis when the caller wants the answer
 * @param largeResponse whether the answer is large
 * @param excludedUpstreams upstreams that the host cannot use now
 */
public record SlotRequest(
    LinkId link,
    long number,
    DataCentreId dataCentre,
    ServiceId service,
    OptionalInt key,
    int priority,
    long arrivedMillis,
    long deadlineMillis,
    long targetMillis,
    boolean largeResponse,
    Set<UpstreamId> excludedUpstreams) {
  /** Copies the set. */
  public SlotRequest {
    excludedUpstreams = Set.copyOf(excludedUpstreams);
  }

  SlotRequestId id() {
    return new SlotRequestId(link, number);
  }
}
