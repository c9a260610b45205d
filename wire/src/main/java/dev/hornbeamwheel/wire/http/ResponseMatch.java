package dev.hornbeamwheel.wire.http;

/** How a response relates to the call in progress on its connection. */
public enum ResponseMatch {
  /** It is the response to the call. */
  ANSWERS,
  /** It belongs to an earlier call; the response to the call is still to come. */
  UNRELATED,
  /** It may belong to an earlier call, so that nothing on the connection can be relied on. */
  UNCERTAIN
}
