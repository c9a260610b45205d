package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.keys.OwnedRange.Phase;
import dev.hornbeamwheel.core.model.ServiceId;

/** Creates log entries on changes in the ownership of a service's keys; immutable. */
record KeyDecisionLog(ServiceId service) {
  KeyEffect.Note entry(String decision, String subject, String reason) {
    return new KeyEffect.Note(decision, service, subject, reason);
  }

  /**
   * Returns the entry for a range that its previous owner certainly no longer holds.
   *
   * @param ended whether the previous owner has certainly ended
   */
  KeyEffect.Note keysFreed(long nowMillis, OwnedRange range, boolean ended) {
    GrantTracker grants = range.previousOwnerGrants();
    return entry(
        "keys-free",
        range.range()
            + " of "
            + range.assignment().previousOwner().map(KeyDecisionLog::describe).orElse("-"),
        reasonFreed(grants.expired(nowMillis), ended)
            + (range.handover().isPresent() ? ", with hand-over state; " : "; ")
            + grants.describe(nowMillis)
            + "; next owner "
            + describe(range.assignment().owner()));
  }

  private static String reasonFreed(boolean expired, boolean ended) {
    if (expired) {
      return "grants have expired";
    }
    return ended ? "release answered, later incarnation seen" : "release answered";
  }

  /** Returns the entry for a range whose new owner has confirmed its grant. */
  KeyEffect.Note keysGranted(long nowMillis, OwnedRange range) {
    return entry(
        "keys-granted",
        range.range() + " to " + describe(range.assignment().owner()),
        range.ownerGrants().describe(nowMillis));
  }

  /** Returns the entry for an order that failed or whose outcome is unknown. */
  KeyEffect.Note orderFailed(
      long nowMillis, String order, OwnedRange range, KeyOwner receiver, OrderResult result) {
    GrantTracker grants =
        range.phase() == Phase.RELEASING ? range.previousOwnerGrants() : range.ownerGrants();
    return entry(
        "order-failed",
        order + " " + range.range() + " to " + describe(receiver),
        result + "; " + grants.describe(nowMillis));
  }

  private static String describe(KeyOwner owner) {
    return owner.incarnation().id() + " fencing token " + owner.fencingToken();
  }
}
