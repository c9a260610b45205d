package dev.hornbeamwheel.core.host.keys;

import java.util.List;
import java.util.Optional;

/** A range of keys of one service and the state of its hand-over; mutable. */
final class OwnedRange {
  /** Steps of a hand-over. */
  enum Phase {
    /** The previous owner may still hold the keys. */
    RELEASING,
    /** No other upstream holds the keys, and the owner has not confirmed its grant yet. */
    GRANTING,
    /** The owner has confirmed its grant. */
    HELD
  }

  private KeyAssignment assignment;
  private Phase phase;
  private GrantTracker ownerGrants;
  private GrantTracker previousOwnerGrants;
  private boolean released;
  private boolean misdirected;
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
    return new OwnedRange(assignment, phase, grants.copy(), grants.copy());
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
    part.handover = handover;
    return part;
  }

  /** Returns a part of this range that starts to move to a new owner or fencing token. */
  OwnedRange movedTo(KeyAssignment next) {
    boolean sameOwner = next.owner().incarnation().equals(assignment.owner().incarnation());
    return sameOwner
        ? new OwnedRange(next, Phase.GRANTING, ownerGrants.copy(), previousOwnerGrants.copy())
        : new OwnedRange(next, Phase.RELEASING, GrantTracker.neverGranted(), ownerGrants.copy());
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

  /** Starts granting the range to its owner, as the previous owner no longer holds it. */
  void startGranting() {
    phase = Phase.GRANTING;
    // The answer to a release that is still in flight is no longer needed.
    inFlightOrderId = 0;
    nextOrderMillis = 0;
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

  /** Removes the previous owner, which no longer holds the keys, from the assignment. */
  void clearPreviousOwner() {
    assignment = assignment.withoutPreviousOwner();
  }

  /** Records that an order was sent for this range. */
  void orderSent(long orderId) {
    inFlightOrderId = orderId;
  }

  /** Records that the order in flight has ended, and when the next one is due. */
  void orderEnded(long nextMillis) {
    inFlightOrderId = 0;
    nextOrderMillis = nextMillis;
  }
}
