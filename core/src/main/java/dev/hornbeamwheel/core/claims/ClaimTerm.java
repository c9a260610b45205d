package dev.hornbeamwheel.core.claims;

import java.util.List;

/**
 * A term of a cell, with its voters.
 *
 * @param number the term number, from one
 * @param voters the voters; a majority of them must record a claim
 */
public record ClaimTerm(long number, List<ClaimVoter> voters) {
  /** Copies the list. */
  public ClaimTerm {
    voters = List.copyOf(voters);
  }

  /** Returns the smallest number of voters that is a majority. */
  int majority() {
    return voters.size() / 2 + 1;
  }
}
