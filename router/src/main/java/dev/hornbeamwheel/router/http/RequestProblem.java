package dev.hornbeamwheel.router.http;

import java.util.Locale;

/**
 * Why a request is refused before it is routed; none of these requests has run.
 *
 * <p>Each problem has a section of its own in docs/TROUBLESHOOTING.md, named {@link #slug()}.
 */
public enum RequestProblem {
  /** The contract token is missing or matches no contract. */
  UNKNOWN_CONTRACT(401, "present the token of a contract as Authorization: Bearer TOKEN"),
  /** The contract does not include the service. */
  SERVICE_NOT_IN_CONTRACT(403, "ask the operators to add the service to the contract"),
  /** No such service is declared. */
  UNKNOWN_SERVICE(404, "call /SERVICE/PATH with the name of a declared service"),
  /** The path is reserved for the control of upstreams. */
  RESERVED_PATH(404, "call a path outside /.well-known/hornbeamwheel"),
  /** A keyed service was called without a key. */
  MISSING_KEY(400, "name the key in the header Hbw-Key"),
  /** The key is too long. */
  KEY_TOO_LONG(400, "send a key of at most 200 characters"),
  /** The idempotency key is missing where one is needed. */
  MISSING_IDEMPOTENCY_KEY(
      400, "send a fresh Idempotency-Key with each new POST or PATCH operation"),
  /** The idempotency key is malformed. */
  BAD_IDEMPOTENCY_KEY(400, "send an Idempotency-Key of 1 to 200 letters, digits, '-', '_' or '.'"),
  /** The request id is malformed. */
  BAD_REQUEST_ID(400, "send an Hbw-Request-Id of 1 to 128 letters, digits, '-', '_' or '.'"),
  /** The deadline is malformed or out of range. */
  BAD_DEADLINE(400, "send Hbw-Deadline-Millis as a whole number from 1 to 600000"),
  /** The headers are too large. */
  HEADERS_TOO_LARGE(431, "send at most 16384 bytes of headers"),
  /** The body is too large. */
  BODY_TOO_LARGE(413, "send a smaller body; the limit is a setting"),
  /** The contract's limit is used up. */
  LIMIT_REACHED(429, "wait as Retry-After says, or ask for a larger contract"),
  /** This router is shutting down. */
  STOPPING(503, "send the request again; another host will take it");

  private final int status;
  private final String remedy;

  RequestProblem(int status, String remedy) {
    this.status = status;
    this.remedy = remedy;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns what the caller can do. */
  public String remedy() {
    return remedy;
  }

  /** Returns the stable name, which is also the anchor in docs/TROUBLESHOOTING.md. */
  public String slug() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
