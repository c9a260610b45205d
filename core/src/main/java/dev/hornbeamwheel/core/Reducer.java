package dev.hornbeamwheel.core;

import java.util.List;

/**
 * A deterministic state machine that turns events into effects.
 *
 * <p>The same sequence of events always gives the same effects: the time is part of each event, and
 * random numbers come from a seeded source held in the state. Implementations are confined to one
 * thread.
 *
 * <pre>{@code
 * List<GossipEffect> effects = reducer.reduce(new GossipEvent.Tick(nowMillis));
 * effects.forEach(performer::perform);
 * }</pre>
 *
 * @param <E> the sealed event type
 * @param <F> the sealed effect type
 */
@FunctionalInterface
public interface Reducer<E extends TimedEvent, F> {
  /**
   * Applies one event to the state.
   *
   * @param event the event, never null; its time must not precede that of an earlier event
   * @return the effects to carry out, in order; empty if there is nothing to do
   */
  List<F> reduce(E event);
}
