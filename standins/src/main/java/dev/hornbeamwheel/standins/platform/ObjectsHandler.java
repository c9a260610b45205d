package dev.hornbeamwheel.standins.platform;

import dev.hornbeamwheel.standins.http.Exchanges;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Serves {@code /objects}. */
final class ObjectsHandler implements HttpHandler {
  private static final String OCTETS = "application/octet-stream";

  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    String name = exchange.getRelativePath();
    if (exchange.getRequestMethod().equals(Methods.PUT) && name.length() > 1) {
      exchange.getRequestReceiver().receiveFullBytes((received, value) -> store(received, value));
    } else if (exchange.getRequestMethod().equals(Methods.GET)) {
      read(exchange, name);
    } else {
      Exchanges.problem(exchange, StatusCodes.METHOD_NOT_ALLOWED, "use GET or PUT on an object");
    }
  }

  private void store(HttpServerExchange exchange, byte[] value) {
    objects.put(exchange.getRelativePath(), value);
    Exchanges.send(exchange, StatusCodes.OK, OCTETS, new byte[0]);
  }

  private void read(HttpServerExchange exchange, String name) {
    byte[] value = objects.get(name);
    if (value == null) {
      Exchanges.problem(exchange, StatusCodes.NOT_FOUND, "no such object");
    } else {
      Exchanges.send(exchange, StatusCodes.OK, OCTETS, value);
    }
  }
}
