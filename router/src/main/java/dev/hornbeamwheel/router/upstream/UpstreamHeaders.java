package dev.hornbeamwheel.router.upstream;

import java.util.Locale;
import java.util.Set;

/** Names of the headers between the router and upstreams; docs/INTERFACES.md explains each. */
final class UpstreamHeaders {
  static final String REQUEST_ID = "Hbw-Request-Id";
  static final String KEY = "Hbw-Key";
  static final String SLICE = "Hbw-Slice";
  static final String EPOCH = "Hbw-Epoch";
  static final String DEADLINE_MILLIS = "Hbw-Deadline-Millis";
  static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  static final String OUTCOME = "Hbw-Outcome";
  static final String REASON = "Hbw-Reason";
  static final String INCARNATION = "Hbw-Incarnation";
  static final String RANGE = "Range";
  static final String IF_RANGE = "If-Range";
  static final String CONTENT_RANGE = "Content-Range";
  static final String CONTENT_LENGTH = "Content-Length";
  static final String ETAG = "ETag";

  /** Value of the outcome header of a request that the upstream did not run. */
  static final String NOT_RUN = "not-run";

  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "host",
          "expect",
          "authorization",
          "content-length",
          "accept-encoding");

  private UpstreamHeaders() {}

  /** Returns whether a header passes from one side of the router to the other. */
  static boolean endToEnd(String name) {
    String lower = name.toLowerCase(Locale.ROOT);
    return !HOP_BY_HOP.contains(lower)
        && !lower.startsWith("hbw-")
        && !lower.equals("idempotency-key");
  }
}
