package dev.hornbeamwheel.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.hornbeamwheel.platform.json.ModelJson;
import dev.hornbeamwheel.standins.faults.Fault;
import dev.hornbeamwheel.standins.http.Exchanges;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Serves {@code /faults}, {@code /runs}, {@code /runs/summary}, {@code /ready} to tests. */
final class StandinsOperator implements AutoCloseable {
  private static final int IO_THREADS = 1;
  private static final int WORKER_THREADS = 2;

  private final ObjectMapper json =
      ModelJson.strictMapper()
          .rebuild()
          .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
          .build();
  private final Standins standins;
  private final Undertow server;

  private StandinsOperator(InetSocketAddress address, Standins standins) {
    this.standins = standins;
    this.server =
        Undertow.builder()
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(WORKER_THREADS)
            .addHttpListener(address.getPort(), address.getAddress().getHostAddress(), paths())
            .build();
  }

  /**
   * Starts to serve.
   *
   * @throws RuntimeException if the address cannot be listened on
   */
  static StandinsOperator start(InetSocketAddress address, Standins standins) {
    StandinsOperator operator = new StandinsOperator(address, standins);
    operator.server.start();
    return operator;
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
  }

  @Override
  public void close() {
    server.stop();
  }

  private PathHandler paths() {
    return new PathHandler(
            exchange -> Exchanges.problem(exchange, StatusCodes.NOT_FOUND, "no such path"))
        .addExactPath("/faults", this::faults)
        .addExactPath("/ready", exchange -> Exchanges.send(exchange, StatusCodes.OK, "ready"))
        .addExactPath("/runs", exchange -> Exchanges.send(exchange, StatusCodes.OK, runs()))
        .addExactPath(
            "/runs/summary", exchange -> Exchanges.send(exchange, StatusCodes.OK, summary()));
  }

  private Object runs() {
    return standins.runs().map(log -> (Object) log.runs()).orElse(List.of());
  }

  private Object summary() {
    return standins.runs().map(log -> (Object) log.summary()).orElse(List.of());
  }

  private void faults(HttpServerExchange exchange) {
    if (!exchange.getRequestMethod().equals(Methods.POST)) {
      Exchanges.problem(exchange, StatusCodes.METHOD_NOT_ALLOWED, "use POST");
      return;
    }
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, body) ->
                received.dispatch(() -> order(received, new String(body, StandardCharsets.UTF_8))));
  }

  private void order(HttpServerExchange exchange, String body) {
    try {
      Fault fault = json.readValue(body, Fault.class);
      if (fault == null) {
        throw new IllegalArgumentException("a fault is an object with a type");
      }
      standins.apply(fault);
      Exchanges.send(exchange, StatusCodes.OK, new OrderedJson("in force"));
    } catch (JsonProcessingException e) {
      Exchanges.problem(exchange, StatusCodes.BAD_REQUEST, e.getOriginalMessage());
    } catch (IllegalArgumentException e) {
      Exchanges.problem(exchange, StatusCodes.BAD_REQUEST, e.getMessage());
    }
  }

  /** The body of the answer to an order. */
  record OrderedJson(String state) {}
}
