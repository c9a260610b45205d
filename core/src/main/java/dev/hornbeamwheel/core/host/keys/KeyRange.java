package dev.hornbeamwheel.core.host.keys;

/**
 * A contiguous, non-empty range of keys.
 *
 * @param first first key
 * @param last last key, inclusive
 */
public record KeyRange(int first, int last) {
  /** Greatest key. */
  public static final int MAX_KEY = 65_535;

  /** All keys. */
  static final KeyRange ALL = new KeyRange(0, MAX_KEY);

  /**
   * Creates a range.
   *
   * @throws IllegalArgumentException if the range is empty or a key is out of bounds
   */
  public KeyRange {
    if (first < 0 || last < first || last > MAX_KEY) {
      throw new IllegalArgumentException(
          "key range is empty or has keys outside 0 to 65535: " + first + " to " + last);
    }
  }

  /** Returns whether the range contains a key. */
  public boolean contains(int key) {
    return first <= key && key <= last;
  }

  /** Returns the number of keys in the range. */
  public int size() {
    return last - first + 1;
  }

  @Override
  public String toString() {
    return first + "-" + last;
  }
}
