package dev.hornbeamwheel.core.virtual;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in the order of their virtual time. */
public final class VirtualTime {
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparing(Task::order));
  private long nowMillis;
  private long order;

  /** Returns the true time, which no process sees. */
  public long nowMillis() {
    return nowMillis;
  }

  /** Runs a task later. */
  public void after(long delayMillis, Runnable task) {
    tasks.add(new Task(nowMillis + delayMillis, order++, task));
  }

  /** Runs a task now and then again and again. */
  public void every(long periodMillis, Runnable task) {
    after(
        periodMillis,
        () -> {
          task.run();
          every(periodMillis, task);
        });
  }

  /** Runs all tasks that are due within a span. */
  public void advance(long millis) {
    long end = nowMillis + millis;
    while (!tasks.isEmpty() && tasks.peek().atMillis() <= end) {
      Task task = tasks.poll();
      nowMillis = task.atMillis();
      task.run().run();
    }
    nowMillis = end;
  }

  private record Task(long atMillis, long order, Runnable run) {}
}
