package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.keys.OwnedRange.Phase;
import dev.hornbeamwheel.core.model.ServiceId;

/** Log lines about what the coordinator believes of a service's keys, and why; immutable. */
record KeyNotes(ServiceId service) {
  KeyEffect.Note note(String decision, String subject, String reason) {
    return new KeyEffect.Note(decision, service, subject, reason);
  }

  /** Returns the line for a range that its owner before surely holds no more. */
  KeyEffect.Note free(long nowMillis, OwnedRange range, boolean laterStart) {
    GrantClock clock = range.previous();
    return note(
        "keys-free",
        range.range() + " of " + range.assignment().previous().map(KeyNotes::name).orElse("-"),
        whyFree(clock.ended(nowMillis), laterStart)
            + (range.handover().isPresent() ? ", with a hand-over; " : "; ")
            + clock.describe(nowMillis)
            + "; next owner "
            + name(range.assignment().owner()));
  }

  private static String whyFree(boolean ranOut, boolean laterStart) {
    if (ranOut) {
      return "hold has run out";
    }
    return laterStart ? "release answered, later start seen" : "release answered";
  }

  /** Returns the line for a range whose new owner has confirmed its grant. */
  KeyEffect.Note granted(long nowMillis, OwnedRange range) {
    return note(
        "keys-granted",
        range.range() + " to " + name(range.assignment().owner()),
        range.owner().describe(nowMillis));
  }

  /** Returns the line for an order that was not surely carried out. */
  KeyEffect.Note failed(
      long nowMillis, String order, OwnedRange range, KeyOwner to, OrderResult result) {
    GrantClock clock = range.phase() == Phase.RELEASING ? range.previous() : range.owner();
    return note(
        "order-failed",
        order + " " + range.range() + " to " + name(to),
        result + "; " + clock.describe(nowMillis));
  }

  private static String name(KeyOwner owner) {
    return owner.life().id() + " fence " + owner.fence();
  }
}
