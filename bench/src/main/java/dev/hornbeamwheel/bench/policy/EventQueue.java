package dev.hornbeamwheel.bench.policy;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Actions in virtual time, in microseconds. */
final class EventQueue {
  private record Due(long atMicros, long order, Runnable action) {}

  private final PriorityQueue<Due> queue =
      new PriorityQueue<>(Comparator.comparingLong(Due::atMicros).thenComparingLong(Due::order));
  private long nowMicros;
  private long order;

  long nowMicros() {
    return nowMicros;
  }

  long nowMillis() {
    return nowMicros / 1_000;
  }

  void after(long micros, Runnable action) {
    queue.add(new Due(nowMicros + micros, order++, action));
  }

  void runUntil(long endMicros) {
    while (!queue.isEmpty() && queue.peek().atMicros <= endMicros) {
      Due next = queue.poll();
      nowMicros = next.atMicros;
      next.action.run();
    }
    nowMicros = endMicros;
  }
}
