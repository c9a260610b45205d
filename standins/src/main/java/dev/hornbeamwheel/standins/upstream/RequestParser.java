package dev.hornbeamwheel.standins.upstream;

import dev.hornbeamwheel.core.model.Epoch;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.platform.http.HttpHeaders;
import dev.hornbeamwheel.platform.json.SliceText;
import dev.hornbeamwheel.standins.http.Exchanges;
import io.undertow.server.HttpServerExchange;
import java.util.Optional;

/** Reads the headers that routers send along. */
final class RequestParser {
  /** Deadline of a request that names none. */
  private static final long DEFAULT_DEADLINE_MILLIS = 60_000;

  private RequestParser() {}

  /**
   * Returns the request.
   *
   * @param nowMillis the clock of the upstream
   * @throws IllegalArgumentException if a header is missing or malformed
   */
  static UpstreamRequest parse(HttpServerExchange exchange, long nowMillis) {
    String slice = Exchanges.header(exchange, HttpHeaders.SLICE);
    return new UpstreamRequest(
        RequestId.of(Exchanges.header(exchange, HttpHeaders.REQUEST_ID)),
        slice.isEmpty() ? Optional.<Slice>empty() : Optional.of(SliceText.parse(slice)),
        Epoch.of(number(exchange, HttpHeaders.EPOCH, 0)),
        Exchanges.header(exchange, HttpHeaders.KEY),
        Exchanges.header(exchange, HttpHeaders.IDEMPOTENCY_KEY),
        nowMillis + number(exchange, HttpHeaders.DEADLINE_MILLIS, DEFAULT_DEADLINE_MILLIS),
        exchange.getRequestMethod().toString(),
        exchange.getRequestPath());
  }

  private static long number(HttpServerExchange exchange, String header, long absent) {
    String text = Exchanges.header(exchange, header);
    return text.isEmpty() ? absent : Long.parseLong(text);
  }
}
