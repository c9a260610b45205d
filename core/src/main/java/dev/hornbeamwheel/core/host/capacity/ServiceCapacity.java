package dev.hornbeamwheel.core.host.capacity;

/**
 * What is learned of one service.
 *
 * @param work run times by kind of request and by upstream
 * @param trials budget of the upstreams that try a lower limit
 * @param minLearnedSlots least number of slots of an upstream whose limit is learned; zero if none
 *     is
 */
public record ServiceCapacity(WorkModel work, TrialBudget trials, int minLearnedSlots) {
  /** Returns the capacity of a service of which nothing is known. */
  public static ServiceCapacity create(int minLearnedSlots) {
    return new ServiceCapacity(WorkModel.create(), TrialBudget.create(), minLearnedSlots);
  }

  /** Returns whether the limit of an upstream is learned. */
  boolean learnsLimit(int slots) {
    return minLearnedSlots > 0 && slots >= minLearnedSlots;
  }
}
