package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.model.UpstreamId;

/** The coordinator's decision on a slot request of a host. */
public sealed interface SlotEffect {
  /** Returns the id of the slot request. */
  SlotRequestId slotRequestId();

  /**
   * Grants a slot at an upstream.
   *
   * @param fencingToken fencing token of the key's owner; zero without a key or if unknown
   */
  record Grant(SlotRequestId slotRequestId, UpstreamId upstream, long fencingToken)
      implements SlotEffect {}

  /**
   * Refuses a request that cannot be served before its deadline.
   *
   * @param retryAfterMillis delay before the caller should retry, in milliseconds
   * @param reason short reason for the log
   */
  record Refuse(SlotRequestId slotRequestId, long retryAfterMillis, String reason)
      implements SlotEffect {}
}
