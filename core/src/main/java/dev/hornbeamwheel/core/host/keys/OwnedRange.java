package dev.hornbeamwheel.core.host.keys;

import java.util.List;
import java.util.Optional;

/** A range of keys of one service and the state of its hand-over; mutable. */
final class OwnedRange {
  /** Steps of a hand-over. */
  enum Phase {
    /** The previous owner may still hold the keys. */
    RELEASING,
    /** No upstream holds the keys, and the stored table still names the previous owner. */
    FREE,
    /** No other upstream holds the keys, and the owner has not confirmed its grant yet. */
    GRANTING,
    /** The owner has confirmed its grant. */
    HELD
  }

  private final KeyAssignment assignment;
  private Phase phase;
  private GrantTracker ownerGrants;
  private GrantTracker previousOwnerGrants;
  private boolean released;
  private boolean misdirected;
  private FencingTokens previousOwnerTokens = FencingTokens.none();
  private long lastTakenToken;
  private boolean fencing;
  private boolean fencedAfterExpiry;
  private boolean fenced;
  private Optional<String> handover = Optional.empty();
  private long inFlightOrderId;
  private long nextOrderMillis;

  private OwnedRange(
      KeyAssignment assignment,
      Phase phase,
      GrantTracker ownerGrants,
      GrantTracker previousOwnerGrants) {
    this.assignment = assignment;
    this.phase = phase;
    this.ownerGrants = ownerGrants;
    this.previousOwnerGrants = previousOwnerGrants;
  }

  /**
   * Returns a range that an earlier coordinator may have granted.
   *
   * @param grants the grants that may have been sent, to the owner and to the previous owner
   */
  static OwnedRange inherited(KeyAssignment assignment, GrantTracker grants) {
    Phase phase = assignment.previousOwner().isPresent() ? Phase.RELEASING : Phase.HELD;
    GrantTracker ownerGrants =
        assignment.ownerNeverGranted() ? GrantTracker.neverGranted() : grants.copy();
    return new OwnedRange(assignment, phase, ownerGrants, grants.copy());
  }

  /** Returns a range that no upstream has ever been granted. */
  static OwnedRange neverHeld(KeyAssignment assignment) {
    return new OwnedRange(
        assignment, Phase.GRANTING, GrantTracker.neverGranted(), GrantTracker.neverGranted());
  }

  /**
   * Merges adjacent ranges of one owner.
   *
   * @param assignment assignment of the merged range, with its own fencing token
   */
  static OwnedRange merged(KeyAssignment assignment, List<OwnedRange> parts) {
    GrantTracker ownerGrants =
        GrantTracker.merge(parts.stream().map(OwnedRange::ownerGrants).toList());
    return new OwnedRange(assignment, Phase.HELD, ownerGrants, GrantTracker.neverGranted());
  }

  /** Returns whether the range may be merged with an adjacent range of the same owner. */
  boolean mergeable() {
    return phase == Phase.HELD && !fenced && assignment.previousOwner().isEmpty();
  }

  /** Returns a part of this range in the same state. */
  OwnedRange part(KeyRange range) {
    if (range.equals(assignment.range())) {
      return this;
    }
    OwnedRange part =
        new OwnedRange(
            assignment.withRange(range), phase, ownerGrants.copy(), previousOwnerGrants.copy());
    part.released = released;
    part.misdirected = misdirected;
    part.previousOwnerTokens = previousOwnerTokens;
    part.lastTakenToken = lastTakenToken;
    part.fencedAfterExpiry = fencedAfterExpiry;
    part.handover = handover;
    return part;
  }

  /**
   * Returns a part of this range that starts to move to a new owner or fencing token.
   *
   * @param tokens fencing tokens for grants to the previous owner, lower than that of the new one
   */
  OwnedRange movedTo(KeyAssignment next, FencingTokens tokens) {
    if (next.previousOwner().isEmpty()) {
      return granting(next);
    }
    OwnedRange moved =
        new OwnedRange(next, Phase.RELEASING, GrantTracker.neverGranted(), ownerGrants.copy());
    moved.previousOwnerTokens = tokens;
    return moved;
  }

  /** Returns this range, which is being released, with other fencing tokens. */
  OwnedRange withTokens(KeyAssignment next, FencingTokens tokens) {
    OwnedRange renewed =
        new OwnedRange(next, phase, ownerGrants.copy(), previousOwnerGrants.copy());
    renewed.released = released;
    renewed.misdirected = misdirected;
    renewed.handover = handover;
    renewed.previousOwnerTokens = tokens;
    renewed.lastTakenToken = lastTakenToken;
    return renewed;
  }

  /** Returns a part of this range that only its next owner, if any upstream, may hold. */
  OwnedRange granting(KeyAssignment next) {
    boolean sameOwner = next.owner().incarnation().equals(assignment.owner().incarnation());
    OwnedRange granting =
        new OwnedRange(
            next,
            Phase.GRANTING,
            sameOwner ? ownerGrants.copy() : GrantTracker.neverGranted(),
            GrantTracker.neverGranted());
    granting.handover = handover;
    return granting;
  }

  KeyAssignment assignment() {
    return assignment;
  }

  KeyRange range() {
    return assignment.range();
  }

  Phase phase() {
    return phase;
  }

  /** Returns whether the owner has a valid grant that it confirmed in this term. */
  boolean hasConfirmedOwner(long nowMillis) {
    return phase == Phase.HELD && ownerGrants.hasConfirmedGrant(nowMillis);
  }

  GrantTracker ownerGrants() {
    return ownerGrants;
  }

  GrantTracker previousOwnerGrants() {
    return previousOwnerGrants;
  }

  /** Postpones the expiries of all grants of the range. */
  void postponeExpiries(long millis) {
    ownerGrants.postpone(millis);
    previousOwnerGrants.postpone(millis);
  }

  boolean released() {
    return released;
  }

  /** Returns whether a different upstream has answered the release. */
  boolean misdirected() {
    return misdirected;
  }

  boolean fenced() {
    return fenced;
  }

  Optional<String> handover() {
    return handover;
  }

  /** Returns whether an order is the one in flight for this range. */
  boolean awaitsAnswer(long orderId) {
    return inFlightOrderId == orderId;
  }

  /** Returns whether no order is in flight and the next one is due. */
  boolean readyForOrder(long nowMillis) {
    return inFlightOrderId == 0 && nowMillis >= nextOrderMillis;
  }

  /** Records that the previous owner has answered the release. */
  void markReleased(Optional<String> handoverState) {
    released = true;
    handover = handoverState;
  }

  /** Records that a different upstream has answered the release at the previous owner's address. */
  void markMisdirected() {
    released = true;
    misdirected = true;
  }

  /** Records that the previous owner no longer holds the range. */
  void markFree() {
    phase = Phase.FREE;
    // The answer to an order that is still in flight is no longer needed.
    inFlightOrderId = 0;
  }

  /**
   * Returns whether the previous owner may be granted the range with a greater fencing token, which
   * makes it refuse late grants: its next owner must not have been granted the range before.
   */
  boolean fenceable() {
    return assignment.ownerNeverGranted() && !misdirected;
  }

  /** Returns whether fencing tokens are left for grants to the previous owner. */
  boolean hasTokens() {
    return previousOwnerTokens.count() > 0;
  }

  /** Returns whether tokens are left beside the last, which is kept for the time of the expiry. */
  boolean hasSpareTokens() {
    return previousOwnerTokens.count() > 1;
  }

  /** Returns whether late grants must be refused first, and tokens for that must be reserved. */
  boolean needsTokens(long nowMillis) {
    return phase == Phase.RELEASING
        && fenceable()
        && !released
        && !hasSpareTokens()
        && !previousOwnerGrants.expired(nowMillis)
        && !previousOwnerGrants.releaseEndsAllGrants(nowMillis);
  }

  /** Returns whether the previous owner was granted the range when its grants had expired. */
  boolean fencedAfterExpiry() {
    return fencedAfterExpiry;
  }

  /** Takes a fencing token for a grant to the previous owner, which no other grant has. */
  long takeToken(long nowMillis) {
    fencedAfterExpiry = previousOwnerGrants.expired(nowMillis);
    FencingTokens tokens = previousOwnerTokens;
    previousOwnerTokens = tokens.withoutFirst();
    lastTakenToken = tokens.first();
    released = false;
    fencing = true;
    return lastTakenToken;
  }

  /** Returns the fencing token that the previous owner was granted the range with last. */
  long previousOwnerToken() {
    return lastTakenToken == 0
        ? assignment.previousOwner().orElseThrow().fencingToken()
        : lastTakenToken;
  }

  /** Returns whether the order in flight is a grant to the previous owner. */
  boolean fencing() {
    return fencing;
  }

  /** Records that the owner has confirmed its grant. */
  void markHeld() {
    phase = Phase.HELD;
    handover = Optional.empty();
  }

  /** Records that the owner refused the grant because of its fencing token. */
  void markFenced() {
    fenced = true;
  }

  /** Records that an order was sent for this range. */
  void orderSent(long orderId) {
    inFlightOrderId = orderId;
  }

  /** Records that the order in flight has ended, and when the next one is due. */
  void orderEnded(long nextMillis) {
    inFlightOrderId = 0;
    fencing = false;
    nextOrderMillis = nextMillis;
  }
}
