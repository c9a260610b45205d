package dev.hornbeamwheel.standins.upstream;

import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.platform.http.HttpHeaders;
import dev.hornbeamwheel.standins.faults.Fault;
import dev.hornbeamwheel.standins.http.Exchanges;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;

/** Serves the requests of callers. */
final class UpstreamHandler implements HttpHandler {
  private final Upstream declared;
  private final UpstreamSettings settings;
  private final UpstreamProcess process;
  private final FreezeGate gate;
  private final AnswerFaults faults;
  private final Predicate<String> crashes;
  private final UpstreamProcess.Environment environment;
  private final AnswerSender sender;
  private final AtomicReference<Answer> previous = new AtomicReference<>();

  /**
   * Makes a handler of one start of an upstream.
   *
   * @param crashes whether running a request of a path makes the upstream crash; it crashes then
   */
  UpstreamHandler(
      Upstream declared,
      UpstreamSettings settings,
      UpstreamProcess process,
      FreezeGate gate,
      AnswerFaults faults,
      Predicate<String> crashes,
      UpstreamProcess.Environment environment) {
    this.declared = declared;
    this.settings = settings;
    this.process = process;
    this.gate = gate;
    this.faults = faults;
    this.crashes = crashes;
    this.environment = environment;
    this.sender = new AnswerSender(process.incarnation());
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, body) ->
                received.dispatch(() -> gate.pass(() -> submit(received, body.length))));
  }

  private void submit(HttpServerExchange exchange, int bodyLength) {
    try {
      UpstreamRequest request = RequestParser.parse(exchange, environment.clock().millis());
      process.submit(request, new ExchangeResponder(exchange, request, bodyLength));
    } catch (IllegalArgumentException e) {
      sender.refuse(
          exchange, Exchanges.header(exchange, HttpHeaders.REQUEST_ID), RefusalReason.MALFORMED);
    }
  }

  private Answer answer(HttpServerExchange exchange, UpstreamRequest request, int bodyLength) {
    return new Answer(request.id(), body(exchange, request, bodyLength));
  }

  private Answer.Body body(HttpServerExchange exchange, UpstreamRequest request, int bodyLength) {
    if (Download.isDownload(request.path())) {
      return new Answer.Body.File(
          Download.of(
              request.path(),
              Exchanges.header(exchange, Headers.RANGE_STRING),
              Exchanges.header(exchange, Headers.IF_RANGE_STRING),
              settings.downloadBytes()));
    }
    return new Answer.Body.Document(
        new Answer.DocumentJson(
            declared.id().value(),
            declared.service().value(),
            request.id().value(),
            request.method(),
            request.path(),
            bodyLength));
  }

  /** Answers one exchange. */
  private final class ExchangeResponder implements Responder {
    private final HttpServerExchange exchange;
    private final UpstreamRequest request;
    private final int bodyLength;

    ExchangeResponder(HttpServerExchange exchange, UpstreamRequest request, int bodyLength) {
      this.exchange = exchange;
      this.request = request;
      this.bodyLength = bodyLength;
    }

    @Override
    public boolean crashes() {
      return crashes.test(request.path());
    }

    @Override
    public void refuse(RefusalReason reason) {
      onWorker(() -> sender.refuse(exchange, request.id().value(), reason));
    }

    @Override
    public void answer() {
      Answer own = UpstreamHandler.this.answer(exchange, request, bodyLength);
      Answer earlier = previous.getAndSet(own);
      faults
          .next()
          .ifPresentOrElse(
              fault -> disturb(fault, own, earlier),
              () -> onWorker(() -> sender.send(exchange, own, false)));
    }

    @Override
    public void drop() {
      Exchanges.abort(exchange);
    }

    private void disturb(Fault.DisturbAnswers fault, Answer own, Answer earlier) {
      switch (fault.how()) {
        case CROSSED -> onWorker(() -> sender.send(exchange, crossed(own, earlier), false));
        case LATE -> later(() -> sender.send(exchange, own, false), fault.millis());
        case SHORT -> onWorker(() -> sender.send(exchange, own, true));
        case LOST -> drop();
        default -> throw new IllegalArgumentException("unknown disturbance: " + fault.how());
      }
    }

    private Answer crossed(Answer own, Answer earlier) {
      return earlier == null ? new Answer(RequestId.of("of-nobody"), own.body()) : earlier;
    }

    private void later(Runnable work, long millis) {
      ScheduledExecutorService timer = environment.timer();
      var unused = timer.schedule(() -> onWorker(work), millis, TimeUnit.MILLISECONDS);
    }

    private void onWorker(Runnable work) {
      exchange.getConnection().getWorker().execute(() -> gate.pass(work));
    }
  }
}
