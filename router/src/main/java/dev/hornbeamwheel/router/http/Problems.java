package dev.hornbeamwheel.router.http;

import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;

/** Sends problem documents. */
final class Problems {
  private static final long MILLIS_BELOW_A_SECOND = 999;

  private Problems() {}

  /**
   * Sends a document as the whole answer.
   *
   * @param retryAfterMillis time after which a retry may succeed; zero if it says nothing
   */
  static void send(HttpServerExchange exchange, ProblemDocument document, long retryAfterMillis) {
    exchange.setStatusCode(document.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, ProblemDocument.MEDIA_TYPE);
    exchange.getResponseHeaders().put(CallerHeaders.OUTCOME, document.outcome());
    if (document.requestId() != null) {
      exchange.getResponseHeaders().put(CallerHeaders.REQUEST_ID, document.requestId());
    }
    if (retryAfterMillis > 0) {
      long seconds = TimeUnit.MILLISECONDS.toSeconds(retryAfterMillis + MILLIS_BELOW_A_SECOND);
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
    }
    exchange.getResponseSender().send(ByteBuffer.wrap(document.bytes()), IoCallback.END_EXCHANGE);
  }
}
