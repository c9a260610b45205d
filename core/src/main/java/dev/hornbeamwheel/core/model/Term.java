package dev.hornbeamwheel.core.model;

/**
 * Fencing token of a cell's leader, ordered by number and then by round.
 *
 * <p>A change of the voters increases the number, by a conditional write of the cell's row. A new
 * round needs only a majority of the voters of that number.
 *
 * @param number number of the term, from one; zero if there is none
 * @param round round within the term, from zero
 */
public record Term(long number, int round) implements Comparable<Term> {
  /** The term before the first one. */
  public static final Term NONE = new Term(0, 0);

  /** Returns the term with the given number and round. */
  public static Term of(long number, int round) {
    return new Term(number, round);
  }

  /** Returns whether this term is later than the other one. */
  public boolean isAfter(Term other) {
    return compareTo(other) > 0;
  }

  @Override
  public int compareTo(Term other) {
    int byNumber = Long.compare(number, other.number);
    return byNumber != 0 ? byNumber : Integer.compare(round, other.round);
  }

  @Override
  public String toString() {
    return number + "." + round;
  }
}
