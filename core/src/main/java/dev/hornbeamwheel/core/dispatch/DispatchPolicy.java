package dev.hornbeamwheel.core.dispatch;

/** Determines whether a router may reuse a lease for further requests. */
public enum DispatchPolicy {
  /** Each lease serves one request, so the oldest waiting request is always served first. */
  SINGLE_USE,
  /** A lease may be reused until it is recalled, which saves messages. */
  REUSE
}
