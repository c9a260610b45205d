package dev.hornbeamwheel.core.host.slots;

import java.util.Collection;
import java.util.List;

/** The order in which waiting requests for the same upstreams are served. */
interface ServiceOrder {
  /**
   * Returns requests in the order in which they are to be served.
   *
   * @param requests requests in the order of their arrival
   */
  List<SlotRequest> sort(long nowMillis, Collection<SlotRequest> requests);

  /** Returns the number of requests that precede the latest one, which is among them. */
  int countAhead(long nowMillis, Collection<SlotRequest> requests, SlotRequest last);
}
