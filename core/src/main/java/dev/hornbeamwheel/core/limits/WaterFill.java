package dev.hornbeamwheel.core.limits;

import java.util.Arrays;

/** Max-min fair division: nobody gets more than wanted, and what is short is shared equally. */
final class WaterFill {
  private WaterFill() {}

  /**
   * Returns the greatest amount that anyone gets.
   *
   * @param wanted what each wants, none negative; left unchanged
   * @param capacity what there is
   */
  static long level(long[] wanted, long capacity) {
    long[] sorted = wanted.clone();
    Arrays.sort(sorted);
    long left = capacity;
    for (int i = 0; i < sorted.length; i++) {
      long equal = left / (sorted.length - i);
      if (sorted[i] > equal) {
        return equal;
      }
      left -= sorted[i];
    }
    return sorted.length == 0 ? capacity : sorted[sorted.length - 1];
  }
}
