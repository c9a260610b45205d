package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.organisations.ApiKey;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * The parts of a request that determine its routing.
 *
 * @param attemptId id that the caller gave to this attempt
 * @param host value of the Host header
 * @param path request path without the query
 * @param key the shard key, or empty if the request has none
 * @param timeoutMillis time that the caller waits, in milliseconds from the arrival of the request
 * @param fingerprint hash of what the request asks for; equal for each copy of it, whatever its
 *     attempt id
 * @param apiKey API key of the caller, or empty if the request has none
 */
public record RequestHead(
    String attemptId,
    String host,
    String path,
    OptionalInt key,
    long timeoutMillis,
    long fingerprint,
    Optional<ApiKey> apiKey) {
  /** Creates the head of a request without an API key. */
  public RequestHead(
      String attemptId,
      String host,
      String path,
      OptionalInt key,
      long timeoutMillis,
      long fingerprint) {
    this(attemptId, host, path, key, timeoutMillis, fingerprint, Optional.empty());
  }
}
