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
  private GrantClock owner;
  private GrantClock previous;
  private boolean released;
  private boolean everGranted;
  private boolean fenced;
  private Optional<String> handover = Optional.empty();
  private long orderInFlight;
  private long dueMillis;

  private OwnedRange(KeyAssignment assignment, Phase phase, GrantClock owner, GrantClock previous) {
    this.assignment = assignment;
    this.phase = phase;
    this.owner = owner;
    this.previous = previous;
  }

  /** Returns a range that an earlier coordinator may have granted, by the clock. */
  static OwnedRange inherited(KeyAssignment assignment, GrantClock granted) {
    Phase phase = assignment.previous().isPresent() ? Phase.RELEASING : Phase.HELD;
    OwnedRange range = new OwnedRange(assignment, phase, granted.copy(), granted.copy());
    range.everGranted = true;
    return range;
  }

  /** Returns a range that nobody ever held, or that its new owner got under another fence. */
  static OwnedRange unheld(KeyAssignment assignment) {
    return new OwnedRange(
        assignment, Phase.GRANTING, GrantClock.neverGranted(), GrantClock.neverGranted());
  }

  /** Returns neighbouring ranges of one owner as one, to be granted under its own fence. */
  static OwnedRange merged(KeyAssignment assignment, List<OwnedRange> parts) {
    GrantClock owner = GrantClock.of(parts.stream().map(OwnedRange::owner).toList());
    OwnedRange whole = new OwnedRange(assignment, Phase.HELD, owner, GrantClock.neverGranted());
    whole.everGranted = true;
    return whole;
  }

  /** Returns whether the range could be one with a neighbour of the same owner. */
  boolean mergeable() {
    return phase == Phase.HELD && !fenced && assignment.previous().isEmpty();
  }

  /** Returns a part of this range, unchanged. */
  OwnedRange part(KeyRange range) {
    if (range.equals(assignment.range())) {
      return this;
    }
    OwnedRange part =
        new OwnedRange(assignment.withRange(range), phase, owner.copy(), previous.copy());
    part.released = released;
    part.everGranted = everGranted;
    part.handover = handover;
    return part;
  }

  /** Returns a part of this range on its way to another owner. */
  OwnedRange movedTo(KeyAssignment next) {
    boolean sameOwner = next.owner().life().equals(assignment.owner().life());
    if (sameOwner) {
      OwnedRange again = new OwnedRange(next, Phase.GRANTING, owner.copy(), previous.copy());
      again.everGranted = everGranted;
      return again;
    }
    if (next.previous().isEmpty() && !everGranted) {
      return unheld(next);
    }
    // A grant may have been sent after the table was proposed.
    KeyAssignment moved = next.previous().isPresent() ? next : next.after(assignment.owner());
    return new OwnedRange(moved, Phase.RELEASING, GrantClock.neverGranted(), owner.copy());
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
  boolean surelyHeld(long nowMillis) {
    return phase == Phase.HELD && owner.surelyHeld(nowMillis);
  }

  GrantClock owner() {
    return owner;
  }

  GrantClock previous() {
    return previous;
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

  boolean awaits(long order) {
    return orderInFlight == order;
  }

  boolean idle(long nowMillis) {
    return orderInFlight == 0 && nowMillis >= dueMillis;
  }

  void releasedWith(Optional<String> passedOn) {
    released = true;
    handover = passedOn;
  }

  void nobodyHolds() {
    phase = Phase.GRANTING;
    // A release that is still open needs no answer any more.
    orderInFlight = 0;
    dueMillis = 0;
  }

  void held() {
    phase = Phase.HELD;
    handover = Optional.empty();
  }

  void fencedOff() {
    fenced = true;
  }

  /** Notes that the owner before is known to hold the keys no more. */
  void settle() {
    assignment = assignment.settled();
  }

  void ordered(long order, boolean grant) {
    orderInFlight = order;
    everGranted |= grant;
  }

  void orderEnded(long nextDueMillis) {
    orderInFlight = 0;
    dueMillis = nextDueMillis;
  }
}
