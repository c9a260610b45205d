package dev.hornbeamwheel.core.host.keys;

/**
 * The next step of taking a range back from its previous owner.
 *
 * <p>The answer to a release ends the grants that the previous owner has carried out. If it may
 * still carry out others, it is first granted the range with a greater fencing token: once that
 * grant has certainly been carried out, the others are refused whenever they arrive.
 */
enum ReleaseStep {
  /** Wait for an answer, for tokens, or for the expiry of grants. */
  WAIT,
  /** Grant the range to the previous owner with a greater fencing token. */
  FENCE,
  /** Ask the previous owner to release the range. */
  RELEASE,
  /** Nobody holds the range any more. */
  FREE;

  /**
   * Returns the next step.
   *
   * @param ended whether the previous owner has certainly ended
   * @param mayGrant whether a grant to the previous owner would not delay the hand-over
   */
  static ReleaseStep next(long nowMillis, OwnedRange range, boolean ended, boolean mayGrant) {
    GrantTracker grants = range.previousOwnerGrants();
    if (grants.expired(nowMillis)) {
      return mayStillArrive(range) ? FENCE : FREE;
    }
    boolean releaseEndsAll = grants.releaseEndsAllGrants(nowMillis);
    if (range.released()) {
      return ended || releaseEndsAll ? FREE : WAIT;
    }
    if (!range.readyForOrder(nowMillis)) {
      return WAIT;
    }
    if (releaseEndsAll) {
      return RELEASE;
    }
    if (range.fenceable() && mayGrant) {
      return range.hasSpareTokens() ? FENCE : WAIT;
    }
    // A grant that is still in flight could arrive after the release.
    return grants.mayBeInFlight(nowMillis) ? WAIT : RELEASE;
  }

  /**
   * Returns whether a grant of an earlier coordinator may arrive though all should have expired,
   * and the previous owner has not been asked since to refuse it: a partition may have ended.
   */
  private static boolean mayStillArrive(OwnedRange range) {
    return !range.previousOwnerGrants().inheritedGrantsEnd()
        && range.fenceable()
        && range.hasTokens()
        && !range.fencedAfterExpiry();
  }
}
