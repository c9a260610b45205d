package dev.hornbeamwheel.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.hornbeamwheel.platform.json.ModelJson;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;

/** Sends answers and reads headers. */
public final class Exchanges {
  /** The mapper for all bodies. */
  public static final ObjectMapper JSON = ModelJson.strictMapper();

  private Exchanges() {}

  /** Returns a header of the request; empty text if it is absent. */
  public static String header(HttpServerExchange exchange, String name) {
    String value = exchange.getRequestHeaders().getFirst(name);
    return value == null ? "" : value;
  }

  /** Sets a header of the answer. */
  public static void header(HttpServerExchange exchange, String name, String value) {
    exchange.getResponseHeaders().put(HttpString.tryFromString(name), value);
  }

  /** Sends a JSON answer. */
  public static void send(HttpServerExchange exchange, int status, Object body) {
    try {
      send(exchange, status, "application/json", JSON.writeValueAsBytes(body));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an answer has no JSON form", e);
    }
  }

  /** Sends an answer. */
  public static void send(HttpServerExchange exchange, int status, String type, byte[] body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
    exchange.getResponseSender().send(ByteBuffer.wrap(body));
  }

  /** Sends a problem document. */
  public static void problem(HttpServerExchange exchange, int status, String title) {
    problem(exchange, new Problem("about:blank", title, status));
  }

  private static void problem(HttpServerExchange exchange, Problem problem) {
    try {
      send(exchange, problem.status(), "application/problem+json", JSON.writeValueAsBytes(problem));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a problem has no JSON form", e);
    }
  }

  /** Closes the connection without an answer. */
  public static void abort(HttpServerExchange exchange) {
    IoUtils.safeClose(exchange.getConnection());
  }

  /** An RFC 9457 problem document. */
  record Problem(String type, String title, int status) {}
}
