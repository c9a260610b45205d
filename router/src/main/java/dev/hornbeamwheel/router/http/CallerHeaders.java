package dev.hornbeamwheel.router.http;

import io.undertow.util.HttpString;

/** Names of the headers between callers and the router; docs/GUIDE.md explains each. */
final class CallerHeaders {
  static final HttpString KEY = HttpString.tryFromString("Hbw-Key");
  static final HttpString REQUEST_ID = HttpString.tryFromString("Hbw-Request-Id");
  static final HttpString DEADLINE_MILLIS = HttpString.tryFromString("Hbw-Deadline-Millis");
  static final HttpString IDEMPOTENCY_KEY = HttpString.tryFromString("Idempotency-Key");
  static final HttpString OUTCOME = HttpString.tryFromString("Hbw-Outcome");

  private CallerHeaders() {}
}
