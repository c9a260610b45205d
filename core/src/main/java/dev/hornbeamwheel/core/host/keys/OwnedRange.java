package dev.hornbeamwheel.core.host.keys;

import java.util.List;
import java.util.Optional;

/** One range of keys and how far its hand-over has come; mutable, part of one service. */
final class OwnedRange {
  /** Steps of a hand-over. */
  enum Phase {
    /** The owner before may still hold the keys. */
    RELEASING,
    /** Nobody holds the keys; the owner has not confirmed its grant yet. */
    GRANTING,
    /** The owner has confirmed its grant. */
    HELD
  }

  private KeyAssignment assignment;
  private Phase phase;
  private GrantTracker ownerGrants;
  private GrantTracker previousOwnerGrants;
  private boolean released;
  private boolean everGranted;
  private boolean fenced;
  private Optional<String> handover = Optional.empty();
  private long inFlightOrderId;
  private long nextOrderMillis;

  private OwnedRange(
      KeyAssignment assignment, Phase phase, GrantTracker owner, GrantTracker previous) {
    this.assignment = assignment;
    this.phase = phase;
    this.ownerGrants = owner;
    this.previousOwnerGrants = previous;
  }

  /** Returns a range that an earlier coordinator may have granted, by the clock. */
  static OwnedRange inherited(KeyAssignment assignment, GrantTracker granted) {
    Phase phase = assignment.previousOwner().isPresent() ? Phase.RELEASING : Phase.HELD;
    OwnedRange range = new OwnedRange(assignment, phase, granted.copy(), granted.copy());
    range.everGranted = true;
    return range;
  }

  /** Returns a range that nobody ever held, or that its new owner got under another fence. */
  static OwnedRange neverHeld(KeyAssignment assignment) {
    return new OwnedRange(
        assignment, Phase.GRANTING, GrantTracker.neverGranted(), GrantTracker.neverGranted());
  }

  /** Returns neighbouring ranges of one owner as one, to be granted under its own fence. */
  static OwnedRange merged(KeyAssignment assignment, List<OwnedRange> parts) {
    GrantTracker owner = GrantTracker.merge(parts.stream().map(OwnedRange::ownerGrants).toList());
    OwnedRange whole = new OwnedRange(assignment, Phase.HELD, owner, GrantTracker.neverGranted());
    whole.everGranted = true;
    return whole;
  }

  /** Returns whether the range could be one with a neighbour of the same owner. */
  boolean mergeable() {
    return phase == Phase.HELD && !fenced && assignment.previousOwner().isEmpty();
  }

  /** Returns a part of this range, unchanged. */
  OwnedRange part(KeyRange range) {
    if (range.equals(assignment.range())) {
      return this;
    }
    OwnedRange part =
        new OwnedRange(
            assignment.withRange(range), phase, ownerGrants.copy(), previousOwnerGrants.copy());
    part.released = released;
    part.everGranted = everGranted;
    part.handover = handover;
    return part;
  }

  /** Returns a part of this range on its way to another owner. */
  OwnedRange movedTo(KeyAssignment next) {
    boolean sameOwner = next.owner().incarnation().equals(assignment.owner().incarnation());
    if (sameOwner) {
      OwnedRange again =
          new OwnedRange(next, Phase.GRANTING, ownerGrants.copy(), previousOwnerGrants.copy());
      again.everGranted = everGranted;
      return again;
    }
    if (next.previousOwner().isEmpty() && !everGranted) {
      return neverHeld(next);
    }
    // A grant may have been sent after the table was proposed.
    KeyAssignment moved =
        next.previousOwner().isPresent() ? next : next.withPreviousOwner(assignment.owner());
    return new OwnedRange(moved, Phase.RELEASING, GrantTracker.neverGranted(), ownerGrants.copy());
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

  /** Returns whether the owner confirmed a grant in this term that still lasts. */
  boolean hasConfirmedOwner(long nowMillis) {
    return phase == Phase.HELD && ownerGrants.hasConfirmedGrant(nowMillis);
  }

  GrantTracker ownerGrants() {
    return ownerGrants;
  }

  GrantTracker previousOwnerGrants() {
    return previousOwnerGrants;
  }

  boolean released() {
    return released;
  }

  boolean everGranted() {
    return everGranted;
  }

  boolean fenced() {
    return fenced;
  }

  Optional<String> handover() {
    return handover;
  }

  boolean awaitsAnswer(long order) {
    return inFlightOrderId == order;
  }

  boolean readyForOrder(long nowMillis) {
    return inFlightOrderId == 0 && nowMillis >= nextOrderMillis;
  }

  void markReleased(Optional<String> passedOn) {
    released = true;
    handover = passedOn;
  }

  void startGranting() {
    phase = Phase.GRANTING;
    // A release that is still open needs no answer any more.
    inFlightOrderId = 0;
    nextOrderMillis = 0;
  }

  void markHeld() {
    phase = Phase.HELD;
    handover = Optional.empty();
  }

  void markFenced() {
    fenced = true;
  }

  /** Notes that the owner before is known to hold the keys no more. */
  void clearPreviousOwner() {
    assignment = assignment.withoutPreviousOwner();
  }

  void orderSent(long order, boolean grant) {
    inFlightOrderId = order;
    everGranted |= grant;
  }

  void orderEnded(long nextDueMillis) {
    inFlightOrderId = 0;
    nextOrderMillis = nextDueMillis;
  }
}
