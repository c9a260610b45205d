package dev.hornbeamwheel.core.model;

/**
 * Number of an assignment of a shard, which increases with each new owner.
 *
 * @param value number of the assignment, from one; zero if there is none
 */
public record Epoch(long value) implements Comparable<Epoch> {
  /** The epoch before the first assignment. */
  public static final Epoch NONE = new Epoch(0);

  /** Returns the epoch with the given number. */
  public static Epoch of(long value) {
    return new Epoch(value);
  }

  /** Returns the epoch that follows this one. */
  public Epoch next() {
    return new Epoch(value + 1);
  }

  @Override
  public int compareTo(Epoch other) {
    return Long.compare(value, other.value);
  }
}
