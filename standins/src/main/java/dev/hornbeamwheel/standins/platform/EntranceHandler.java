package dev.hornbeamwheel.standins.platform;

import dev.hornbeamwheel.standins.faults.Fault.DownMode;
import dev.hornbeamwheel.standins.http.Exchanges;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Lets requests through one entrance of the platform unless a fault prevents it. */
final class EntranceHandler implements HttpHandler {
  private final String entrance;
  private final PlatformFaults faults;
  private final HttpHandler next;

  EntranceHandler(String entrance, PlatformFaults faults, HttpHandler next) {
    this.entrance = entrance;
    this.faults = faults;
    this.next = next;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    Optional<DownMode> down = faults.down(entrance);
    if (down.isPresent()) {
      refuse(exchange, down.get());
    } else if (faults.delayMillis() > 0) {
      delay(exchange);
    } else {
      next.handleRequest(exchange);
    }
  }

  private static void refuse(HttpServerExchange exchange, DownMode mode) {
    if (mode == DownMode.CLOSE) {
      Exchanges.abort(exchange);
    } else {
      Exchanges.problem(exchange, StatusCodes.SERVICE_UNAVAILABLE, "the platform is down");
    }
  }

  private void delay(HttpServerExchange exchange) {
    exchange.dispatch(
        () -> {
          var unused =
              exchange
                  .getIoThread()
                  .executeAfter(
                      () -> exchange.dispatch(next), faults.delayMillis(), TimeUnit.MILLISECONDS);
        });
  }
}
