package dev.hornbeamwheel.runtime.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.hornbeamwheel.runtime.metrics.Metrics;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Serves {@code /metrics}, {@code /ready}, {@code /live} and {@code /status} to operators.
 *
 * <pre>{@code
 * OperatorServer server =
 *     OperatorServer.start(address, new Pages(metrics, readiness, loop::alive, this::status));
 * }</pre>
 */
public final class OperatorServer implements AutoCloseable {
  private static final int IO_THREADS = 1;
  private static final int WORKER_THREADS = 2;
  private static final String TEXT = "text/plain; charset=utf-8";
  private static final String JSON = "application/json";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Undertow server;

  private OperatorServer(Undertow server) {
    this.server = server;
  }

  /**
   * What the pages show.
   *
   * @param metrics for {@code /metrics}
   * @param readiness for {@code /ready}
   * @param live for {@code /live}: whether the event loop makes progress
   * @param status for {@code /status}: a record that is written as JSON
   */
  public record Pages(
      Metrics metrics, Readiness readiness, BooleanSupplier live, Supplier<?> status) {}

  /**
   * Starts to serve; port zero takes a free one.
   *
   * @throws RuntimeException if the address cannot be listened on
   */
  public static OperatorServer start(InetSocketAddress address, Pages pages) {
    Undertow server =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getAddress().getHostAddress())
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(WORKER_THREADS)
            .setHandler(new BlockingHandler(paths(pages)))
            .build();
    server.start();
    return new OperatorServer(server);
  }

  /** Returns the address that the server listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
  }

  @Override
  public void close() {
    server.stop();
  }

  private static HttpHandler paths(Pages pages) {
    return new PathHandler(OperatorServer::notFound)
        .addExactPath("/metrics", exchange -> metrics(exchange, pages.metrics()))
        .addExactPath("/ready", exchange -> flag(exchange, pages.readiness().isReady(), "ready"))
        .addExactPath("/live", exchange -> flag(exchange, pages.live().getAsBoolean(), "live"))
        .addExactPath("/status", exchange -> status(exchange, pages.status().get()));
  }

  private static void metrics(HttpServerExchange exchange, Metrics metrics) throws IOException {
    PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
    ByteArrayOutputStream page = new ByteArrayOutputStream();
    writer.write(page, metrics.registry().scrape());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, writer.getContentType());
    exchange.getResponseSender().send(ByteBuffer.wrap(page.toByteArray()));
  }

  private static void flag(HttpServerExchange exchange, boolean on, String name) {
    exchange.setStatusCode(on ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
    send(exchange, TEXT, (on ? name : "not " + name) + "\n");
  }

  private static void status(HttpServerExchange exchange, Object status)
      throws JsonProcessingException {
    send(exchange, JSON, MAPPER.writeValueAsString(status) + "\n");
  }

  private static void notFound(HttpServerExchange exchange) {
    exchange.setStatusCode(StatusCodes.NOT_FOUND);
    send(exchange, TEXT, "pages: /metrics /ready /live /status\n");
  }

  private static void send(HttpServerExchange exchange, String type, String body) {
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
    exchange.getResponseSender().send(body);
  }
}
