package dev.hornbeamwheel.runtime.loop;

import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.TimedEvent;
import dev.hornbeamwheel.core.time.Clock;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.Supplier;

/**
 * Runs a reducer on a thread of its own and hands its effects to a performer.
 *
 * <p>An event is stamped with the time when the loop takes it up, so the times that the reducer
 * sees never go back.
 *
 * <pre>{@code
 * EventLoop<NodeEvent, NodeEffect> loop = EventLoop.create("node", reducer, Clock.monotonic());
 * loop.start(performer, NodeEvent.Tick::new);
 * loop.post(now -> new NodeEvent.Received(now, sender, message));
 * }</pre>
 *
 * @param <E> the event type
 * @param <F> the effect type
 */
public final class EventLoop<E extends TimedEvent, F> implements AutoCloseable {
  /** Time between two ticks, in milliseconds. */
  public static final long TICK_MILLIS = 50;

  /** A loop that has not ticked for so long is not alive, in milliseconds. */
  public static final long STALLED_MILLIS = 5_000;

  private static final Logger LOGGER = System.getLogger(EventLoop.class.getName());

  private final Reducer<E, F> reducer;
  private final Clock clock;
  private final ScheduledThreadPoolExecutor executor;
  private final LoopLag lag;
  private EffectPerformer<F> performer;
  private volatile boolean started;

  private EventLoop(Reducer<E, F> reducer, Clock clock, ScheduledThreadPoolExecutor executor) {
    this.reducer = reducer;
    this.clock = clock;
    this.executor = executor;
    this.lag = LoopLag.startingAt(clock.millis());
  }

  /** Returns a loop that is not started yet. */
  public static <E extends TimedEvent, F> EventLoop<E, F> create(
      String name, Reducer<E, F> reducer, Clock clock) {
    ScheduledThreadPoolExecutor executor =
        new ScheduledThreadPoolExecutor(1, task -> new Thread(task, name));
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    executor.setContinueExistingPeriodicTasksAfterShutdownPolicy(false);
    return new EventLoop<>(reducer, clock, executor);
  }

  /**
   * Starts the ticks.
   *
   * @param performer carries out the effects
   * @param tick makes the tick event for a time
   */
  public void start(EffectPerformer<F> performer, LongFunction<? extends E> tick) {
    executor.execute(() -> this.performer = performer);
    started = true;
    // The task catches its own failures, so its future tells nothing.
    var unused =
        executor.scheduleWithFixedDelay(
            () -> tick(tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Hands over an event from any thread; ignored before the loop starts and once it is closed. */
  public void post(LongFunction<? extends E> event) {
    if (started && !executor.isShutdown()) {
      executor.execute(() -> reduce(event));
    }
  }

  /** Reads state of the reducer on the thread of the loop. */
  public <T> CompletableFuture<T> query(Supplier<T> read) {
    return CompletableFuture.supplyAsync(read, executor);
  }

  /** Returns whether the loop has ticked within {@link #STALLED_MILLIS}. */
  public boolean alive() {
    return !executor.isShutdown() && clock.millis() - lag.lastTickMillis() < STALLED_MILLIS;
  }

  /** Returns by how much the last tick was late, in milliseconds. */
  public long lagMillis() {
    return lag.lastMillis();
  }

  /** Returns how many ticks were late by more than a tick. */
  public long lateTicks() {
    return lag.lateTicks();
  }

  /** Returns how many events wait for the loop. */
  public int queued() {
    return executor.getQueue().size();
  }

  /** Takes up no more events; returns when the current one is done. */
  @Override
  public void close() {
    executor.shutdown();
    try {
      if (!executor.awaitTermination(STALLED_MILLIS, TimeUnit.MILLISECONDS)) {
        executor.shutdownNow();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void tick(LongFunction<? extends E> tick) {
    lag.ticked(clock.millis(), TICK_MILLIS);
    reduce(tick);
  }

  private void reduce(LongFunction<? extends E> event) {
    try {
      reducer.reduce(event.apply(clock.millis())).forEach(performer::perform);
      performer.flush();
    } catch (RuntimeException e) {
      LOGGER.log(Level.ERROR, "event failed; the loop goes on with the next one", e);
    }
  }
}
