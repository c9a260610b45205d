package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.model.UpstreamId;

/** What the coordinator tells a host about its ask. */
public sealed interface SlotEffect {
  /** Returns the ask that this answers. */
  SlotRequestId slotRequestId();

  /** The request may go to an upstream. */
  record Grant(SlotRequestId slotRequestId, UpstreamId upstream, long fencingToken)
      implements SlotEffect {}

  /**
   * The request cannot be served in time.
   *
   * @param retryAfterMillis when there will be room, in milliseconds from now
   * @param reason why, in a few words
   */
  record Refuse(SlotRequestId slotRequestId, long retryAfterMillis, String reason)
      implements SlotEffect {}
}
