package dev.hornbeamwheel.runtime.loop;

/**
 * Carries out effects.
 *
 * @param <F> the effect type
 */
@FunctionalInterface
public interface EffectPerformer<F> {
  /**
   * Carries out one effect, on the thread of the event loop; must not block.
   *
   * <p>What comes of it is posted to the loop as an event.
   */
  void perform(F effect);

  /** Completes what was begun by the effects of one event, on the thread of the event loop. */
  default void flush() {}
}
