package dev.hornbeamwheel.core.host.slots;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Serves the requests that can still meet their latency target before the others, then by priority
 * and arrival.
 */
final class TargetOrder implements ServiceOrder {
  private final ServiceQueue queue;

  TargetOrder(ServiceQueue queue) {
    this.queue = queue;
  }

  @Override
  public List<SlotRequest> sort(long nowMillis, Collection<SlotRequest> requests) {
    return requests.size() < 2
        ? List.copyOf(requests)
        : requests.stream().sorted(order(nowMillis)).toList();
  }

  @Override
  public int countAhead(long nowMillis, Collection<SlotRequest> requests, SlotRequest last) {
    Comparator<SlotRequest> order = order(nowMillis);
    return (int)
        requests.stream()
            .filter(other -> !other.id().equals(last.id()) && order.compare(other, last) <= 0)
            .count();
  }

  private Comparator<SlotRequest> order(long nowMillis) {
    return Comparator.comparing((SlotRequest request) -> !queue.canMeetTarget(request, nowMillis))
        .thenComparingInt(SlotRequest::priority)
        .thenComparingLong(SlotRequest::arrivedMillis);
  }
}
