package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.TrafficClass;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A request of a host for a slot at an upstream.
 *
 * @param link connection of the requesting host
 * @param number number of the slot request, unique within the host
 * @param dataCentre data centre of the requesting host
 * @param service service of the request
 * @param key the shard key, or empty if the service is not keyed
 * @param priority priority of the request; zero is served first
 * @param trafficClass traffic class of the request
 * @param arrivedMillis time at which the coordinator received the request
 * @param deadlineMillis time at which the caller stops waiting or the route's timeout expires
 * @param targetMillis time by which the caller wants the response
 * @param largeResponse whether the response is expected to be large
 * @param suspect whether an upstream ended, or may have ended, while it ran the same request
 * @param excludedUpstreams upstreams that the host cannot use now
 */
public record SlotRequest(
    LinkId link,
    long number,
    DataCentreId dataCentre,
    ServiceId service,
    OptionalInt key,
    int priority,
    TrafficClass trafficClass,
    long arrivedMillis,
    long deadlineMillis,
    long targetMillis,
    boolean largeResponse,
    boolean suspect,
    Set<UpstreamId> excludedUpstreams) {
  /** Copies the set of excluded upstreams. */
  public SlotRequest {
    excludedUpstreams = Set.copyOf(excludedUpstreams);
  }

  SlotRequestId id() {
    return new SlotRequestId(link, number);
  }
}
