package dev.hornbeamwheel.core.dispatch;

/** When the leases of a dispatcher may be used again without asking. */
public enum DispatchPolicy {
  /** Each lease serves one request, so that the oldest waiting request always goes first. */
  SINGLE_USE,
  /** Leases are used again until they are recalled, which saves messages. */
  REUSE
}
