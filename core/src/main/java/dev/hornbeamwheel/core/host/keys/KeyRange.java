package dev.hornbeamwheel.core.host.keys;

/**
 * A range of keys.
 *
 * @param first first key
 * @param last last key, inclusive
 */
public record KeyRange(int first, int last) {
  /** Greatest key. */
  public static final int MAX_KEY = 65_535;

  /** Rejects an empty range and keys out of bounds. */
  public KeyRange {
    if (first < 0 || last < first || last > MAX_KEY) {
      throw new IllegalArgumentException("not a range of keys: " + first + " to " + last);
    }
  }

  /** Returns whether the range holds a key. */
  public boolean contains(int key) {
    return first <= key && key <= last;
  }

  /** Returns how many keys the range holds. */
  public int size() {
    return last - first + 1;
  }

  @Override
  public String toString() {
    return first + "-" + last;
  }
}
