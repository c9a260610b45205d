package dev.hornbeamwheel.core.routing;

/** Reason why a request got no upstream response, and what the caller can do about it. */
public enum ProblemKind {
  /** There is no problem. */
  NONE("", ""),
  /** The service is not declared. */
  UNKNOWN_SERVICE("unknown-service", "check the service name against the declarations"),
  /** A keyed service was called without a key. */
  KEY_REQUIRED("key-required", "send the key of the record that the request is about"),
  /** No upstream could take the request before its deadline. */
  NO_CAPACITY("no-capacity", "send it again after the time in Retry-After"),
  /** The key had no owner before the deadline. */
  NO_OWNER("no-owner", "send it again after the time in Retry-After"),
  /** The queue of waiting requests is full. */
  QUEUE_FULL("queue-full", "send it again after the time in Retry-After"),
  /** The deadline passed before the request could be sent. */
  DEADLINE("deadline", "allow more time, or send it again after the time in Retry-After"),
  /** Requests with this fingerprint crashed several upstreams. */
  QUARANTINED("quarantined", "change the request, or report it to the operators"),
  /** The process is stopping. */
  STOPPING("stopping", "send it again; another host will take it"),
  /** The claim on the idempotency key could not be recorded. */
  CLAIM_UNAVAILABLE("claim-unavailable", "send it again with the same idempotency key"),
  /** A request with the same idempotency key may be running. */
  DUPLICATE_RUNNING("duplicate-running", "ask again with the same key after Retry-After"),
  /** A request with the same idempotency key has completed with the given status. */
  DUPLICATE_COMPLETED("duplicate-completed", "look the result up; it is not sent twice"),
  /** The idempotency key was used for a different request. */
  IDEMPOTENCY_KEY_REUSED("idempotency-key-reused", "use a new idempotency key"),
  /** A request with the same idempotency key may have run. */
  DUPLICATE_UNKNOWN("duplicate-unknown", "look the result up before sending a new request"),
  /** The connection to the upstream was lost; the upstream may have run the request. */
  UPSTREAM_LOST("upstream-lost", "look the result up before sending a new request"),
  /** The response was truncated and could not be resumed. */
  ANSWER_CUT("answer-cut", "send it again, or resume by range with the validator"),
  /** The caller disconnected or cancelled. */
  CALLER_GONE("caller-gone", "");

  private final String slug;
  private final String remedy;

  ProblemKind(String slug, String remedy) {
    this.slug = slug;
    this.remedy = remedy;
  }

  /** Returns the stable name used in problem documents; empty for NONE. */
  public String slug() {
    return slug;
  }

  /** Returns what the caller can do; empty if nothing. */
  public String remedy() {
    return remedy;
  }
}
