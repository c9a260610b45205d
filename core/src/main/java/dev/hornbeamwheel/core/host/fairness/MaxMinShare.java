package dev.hornbeamwheel.core.host.fairness;

import java.util.stream.DoubleStream;

/** Divides a capacity equally, where those that demand less leave the rest to the others. */
public final class MaxMinShare {
  private MaxMinShare() {}

  /**
   * Returns the share of one that demands as much as it can get.
   *
   * @param capacity the capacity, in any unit
   * @param others demands of the others, in the same unit
   */
  public static double of(double capacity, DoubleStream others) {
    double[] ascending = others.sorted().toArray();
    double left = capacity;
    int sharers = ascending.length + 1;
    for (double demand : ascending) {
      if (demand * sharers >= left) {
        break;
      }
      left -= demand;
      sharers--;
    }
    return left / sharers;
  }
}
