package dev.hornbeamwheel.standins.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.ownership.UpstreamOrder;
import dev.hornbeamwheel.core.ownership.UpstreamReply;
import dev.hornbeamwheel.platform.LoadReport;
import dev.hornbeamwheel.platform.http.UpstreamPaths;
import dev.hornbeamwheel.platform.json.ModelJson;
import dev.hornbeamwheel.platform.json.OrderJson;
import dev.hornbeamwheel.platform.json.ReplyJson;
import dev.hornbeamwheel.standins.faults.Fault.Health;
import dev.hornbeamwheel.standins.http.Exchanges;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/** Serves orders, load, health and cancellation. */
final class ControlHandlers {
  /** Types of order lack fields of each other, so absent ones are no fault. */
  private static final ObjectMapper ORDERS = ModelJson.lenientMapper();

  private final UpstreamProcess process;
  private final FreezeGate gate;
  private final Supplier<Health> health;
  private final BiConsumer<List<UpstreamOrder>, List<UpstreamReply>> observer;

  /**
   * Makes the handlers of one start of an upstream.
   *
   * @param observer is told of the orders and their replies
   */
  ControlHandlers(
      UpstreamProcess process,
      FreezeGate gate,
      Supplier<Health> health,
      BiConsumer<List<UpstreamOrder>, List<UpstreamReply>> observer) {
    this.process = process;
    this.gate = gate;
    this.health = health;
    this.observer = observer;
  }

  /** Returns the paths of control; every other one goes to {@code requests}. */
  HttpHandler before(HttpHandler requests) {
    return new PathHandler(requests)
        .addExactPath(UpstreamPaths.ORDERS, this::orders)
        .addExactPath(UpstreamPaths.LOAD, exchange -> gated(exchange, () -> load(exchange)))
        .addExactPath(UpstreamPaths.HEALTH, this::health)
        .addPrefixPath(UpstreamPaths.REQUESTS, exchange -> gated(exchange, () -> cancel(exchange)));
  }

  private void gated(HttpServerExchange exchange, Runnable work) {
    exchange.dispatch(() -> gate.pass(work));
  }

  private void orders(HttpServerExchange exchange) {
    if (!exchange.getRequestMethod().equals(Methods.POST)) {
      Exchanges.problem(exchange, StatusCodes.METHOD_NOT_ALLOWED, "use POST");
      return;
    }
    exchange
        .getRequestReceiver()
        .receiveFullBytes((received, body) -> gated(received, () -> obey(received, body)));
  }

  private void obey(HttpServerExchange exchange, byte[] body) {
    try {
      OrderJson[] orders =
          ORDERS.readValue(new String(body, StandardCharsets.UTF_8), OrderJson[].class);
      List<UpstreamOrder> parsed = Arrays.stream(orders).map(OrderJson::toOrder).toList();
      List<UpstreamReply> replies = process.obey(parsed);
      observer.accept(parsed, replies);
      Exchanges.send(exchange, StatusCodes.OK, replies.stream().map(ReplyJson::of).toList());
    } catch (JsonProcessingException | IllegalArgumentException | NullPointerException e) {
      Exchanges.problem(exchange, StatusCodes.BAD_REQUEST, "malformed order");
    }
  }

  private void load(HttpServerExchange exchange) {
    Exchanges.send(exchange, StatusCodes.OK, LoadJson.of(process.load()));
  }

  private void health(HttpServerExchange exchange) {
    switch (health.get()) {
      case UP -> health(exchange, true);
      case DOWN -> health(exchange, false);
      default -> gated(exchange, () -> health(exchange, !process.load().draining()));
    }
  }

  private static void health(HttpServerExchange exchange, boolean up) {
    Exchanges.send(
        exchange,
        up ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE,
        new HealthJson(up ? "up" : "down"));
  }

  private void cancel(HttpServerExchange exchange) {
    String id = exchange.getRelativePath().replaceFirst("^/", "");
    if (!exchange.getRequestMethod().equals(Methods.DELETE) || id.isBlank()) {
      Exchanges.problem(exchange, StatusCodes.METHOD_NOT_ALLOWED, "use DELETE on a request id");
    } else if (process.cancel(RequestId.of(id))) {
      Exchanges.send(exchange, StatusCodes.OK, new CancelJson("cancelled"));
    } else {
      Exchanges.problem(exchange, StatusCodes.NOT_FOUND, "no such request waits or runs");
    }
  }

  /** The body of a load report. */
  record LoadJson(
      String upstream,
      String incarnation,
      int running,
      int queued,
      long ageMillis,
      boolean draining) {
    static LoadJson of(LoadReport report) {
      return new LoadJson(
          report.upstream().value(),
          Long.toString(report.incarnation().value()),
          report.running(),
          report.queued(),
          report.ageMillis(),
          report.draining());
    }
  }

  /** The body of a health report. */
  record HealthJson(String status) {}

  /** The body of the answer to a cancellation. */
  record CancelJson(String state) {}
}
