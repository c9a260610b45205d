package dev.hornbeamwheel.router.http;

import dev.hornbeamwheel.core.model.RequestId;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import okio.ByteString;

/** Reads and checks callers' requests and hands the accepted ones over. */
public final class CallerHandler implements HttpHandler {
  private final RequestChecker checker;
  private final Supplier<ContractDirectory> directory;
  private final BooleanSupplier stopping;
  private final int maxBodyBytes;
  private final Consumer<CallerExchange> accepted;

  private CallerHandler(
      RequestChecker checker,
      Supplier<ContractDirectory> directory,
      BooleanSupplier stopping,
      int maxBodyBytes,
      Consumer<CallerExchange> accepted) {
    this.checker = checker;
    this.directory = directory;
    this.stopping = stopping;
    this.maxBodyBytes = maxBodyBytes;
    this.accepted = accepted;
  }

  /**
   * Returns a handler.
   *
   * @param newIds draws ids for requests without one
   * @param directory the contracts in force
   * @param stopping whether the process takes no new work
   * @param maxBodyBytes greatest size of a request's body
   * @param accepted takes over each accepted request; called on an I/O thread, must not block
   */
  public static CallerHandler create(
      Supplier<RequestId> newIds,
      Supplier<ContractDirectory> directory,
      BooleanSupplier stopping,
      int maxBodyBytes,
      Consumer<CallerExchange> accepted) {
    return new CallerHandler(
        RequestChecker.drawing(newIds), directory, stopping, maxBodyBytes, accepted);
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    if (stopping.getAsBoolean()) {
      exchange.setPersistent(false);
      refuse(exchange, RequestProblem.STOPPING);
      return;
    }
    RequestCheck check = checker.check(exchange, directory.get());
    if (check instanceof RequestCheck.Refused refused) {
      refuse(exchange, refused.problem());
    } else if (check instanceof RequestCheck.Accepted ok) {
      readBody(exchange, ok.request());
    }
  }

  private void readBody(HttpServerExchange exchange, CallerRequest request) {
    if (exchange.getRequestContentLength() > maxBodyBytes) {
      refuse(exchange, RequestProblem.BODY_TOO_LARGE);
      return;
    }
    Receiver receiver = exchange.getRequestReceiver();
    receiver.setMaxBufferSize(maxBodyBytes);
    receiver.receiveFullBytes(
        (source, body) -> handOver(source, request, body),
        (source, e) -> refuse(source, RequestProblem.BODY_TOO_LARGE));
  }

  private void handOver(HttpServerExchange exchange, CallerRequest request, byte[] body) {
    CallerExchange caller = CallerExchange.of(exchange, request, ByteString.of(body));
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> accepted.accept(caller));
  }

  private static void refuse(HttpServerExchange exchange, RequestProblem problem) {
    String id = exchange.getRequestHeaders().getFirst(CallerHeaders.REQUEST_ID);
    boolean unread = problem == RequestProblem.BODY_TOO_LARGE;
    if (unread) {
      exchange.setPersistent(false);
      exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
    }
    String shown = problem == RequestProblem.BAD_REQUEST_ID ? null : id;
    Problems.send(exchange, ProblemDocument.of(problem, shown), 0);
  }
}
