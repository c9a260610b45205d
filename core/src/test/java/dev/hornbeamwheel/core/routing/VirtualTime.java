package dev.hornbeamwheel.core.routing;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Schedules actions in virtual time. */
final class VirtualTime {
  private record Due(long atMillis, long order, Runnable action) {}

  private final PriorityQueue<Due> queue =
      new PriorityQueue<>(Comparator.comparingLong(Due::atMillis).thenComparingLong(Due::order));
  private long nowMillis;
  private long order;

  long now() {
    return nowMillis;
  }

  void after(long millis, Runnable action) {
    queue.add(new Due(nowMillis + millis, order++, action));
  }

  void advance(long millis) {
    long end = nowMillis + millis;
    while (!queue.isEmpty() && queue.peek().atMillis <= end) {
      Due next = queue.poll();
      nowMillis = next.atMillis;
      next.action.run();
    }
    nowMillis = end;
  }
}
