package dev.hornbeamwheel.core.model;

/**
 * Number of an assignment of a shard; each new owner of the shard gets a greater one.
 *
 * @param value from one; zero stands for no assignment
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
