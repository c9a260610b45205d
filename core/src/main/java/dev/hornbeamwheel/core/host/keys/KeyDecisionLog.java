package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.keys.OwnedRange.Phase;
import dev.hornbeamwheel.core.model.ServiceId;

/** Log lines about what the coordinator believes of a service's keys, and why; immutable. */
record KeyDecisionLog(ServiceId service) {
  KeyEffect.Note entry(String decision, String subject, String reason) {
    return new KeyEffect.Note(decision, service, subject, reason);
  }

  /** Returns the line for a range that its owner before surely holds no more. */
  KeyEffect.Note keysFreed(long nowMillis, OwnedRange range, boolean laterStart) {
    GrantTracker clock = range.previousOwnerGrants();
    return entry(
        "keys-free",
        range.range()
            + " of "
            + range.assignment().previousOwner().map(KeyDecisionLog::describe).orElse("-"),
        reasonFreed(clock.expired(nowMillis), laterStart)
            + (range.handover().isPresent() ? ", with a hand-over; " : "; ")
            + clock.describe(nowMillis)
            + "; next owner "
            + describe(range.assignment().owner()));
  }

  private static String reasonFreed(boolean ranOut, boolean laterStart) {
    if (ranOut) {
      return "hold has run out";
    }
    return laterStart ? "release answered, later start seen" : "release answered";
  }

  /** Returns the line for a range whose new owner has confirmed its grant. */
  KeyEffect.Note keysGranted(long nowMillis, OwnedRange range) {
    return entry(
        "keys-granted",
        range.range() + " to " + describe(range.assignment().owner()),
        range.ownerGrants().describe(nowMillis));
  }

  /** Returns the line for an order that was not surely carried out. */
  KeyEffect.Note orderFailed(
      long nowMillis, String order, OwnedRange range, KeyOwner to, OrderResult result) {
    GrantTracker clock =
        range.phase() == Phase.RELEASING ? range.previousOwnerGrants() : range.ownerGrants();
    return entry(
        "order-failed",
        order + " " + range.range() + " to " + describe(to),
        result + "; " + clock.describe(nowMillis));
  }

  private static String describe(KeyOwner owner) {
    return owner.incarnation().id() + " fence " + owner.fencingToken();
  }
}
