package dev.hornbeamwheel.core.virtual;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Schedules tasks in virtual time and runs them in the order of their due times. */
public final class VirtualTime {
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparing(Task::order));
  private long nowMillis;
  private long order;

  /** Returns the virtual time, which simulated processes see only through their own clocks. */
  public long nowMillis() {
    return nowMillis;
  }

  /** Schedules a task to run once after a delay. */
  public void after(long delayMillis, Runnable task) {
    tasks.add(new Task(nowMillis + delayMillis, order++, task));
  }

  /** Schedules a task to run repeatedly, for the first time after one period. */
  public void every(long periodMillis, Runnable task) {
    after(
        periodMillis,
        () -> {
          task.run();
          every(periodMillis, task);
        });
  }

  /** Advances the time and runs all tasks that become due. */
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
