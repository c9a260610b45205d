package dev.hornbeamwheel.standins.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.platform.http.HttpHeaders;
import dev.hornbeamwheel.standins.http.Exchanges;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.io.OutputStream;

/** Writes answers, whole or cut short, on a worker thread. */
final class AnswerSender {
  private final Incarnation incarnation;

  AnswerSender(Incarnation incarnation) {
    this.incarnation = incarnation;
  }

  void refuse(HttpServerExchange exchange, String requestId, RefusalReason reason) {
    identify(exchange, requestId, HttpHeaders.OUTCOME_NOT_RUN);
    Exchanges.header(exchange, HttpHeaders.REASON, reason.text());
    Exchanges.problem(exchange, reason.status(), "not run: " + reason.text());
  }

  /** Sends an answer; {@code cut} closes the connection in the middle of the body. */
  void send(HttpServerExchange exchange, Answer answer, boolean cut) {
    identify(exchange, answer.requestId().value(), HttpHeaders.OUTCOME_COMPLETED);
    exchange.startBlocking();
    try {
      if (answer.body() instanceof Answer.Body.File file) {
        sendFile(exchange, file.download(), cut);
      } else {
        sendDocument(exchange, ((Answer.Body.Document) answer.body()).json(), cut);
      }
    } catch (IOException e) {
      Exchanges.abort(exchange);
    }
  }

  private void identify(HttpServerExchange exchange, String requestId, String outcome) {
    Exchanges.header(exchange, HttpHeaders.REQUEST_ID, requestId);
    Exchanges.header(exchange, HttpHeaders.OUTCOME, outcome);
    Exchanges.header(exchange, HttpHeaders.INCARNATION, Long.toString(incarnation.value()));
  }

  private static void sendFile(HttpServerExchange exchange, Download download, boolean cut)
      throws IOException {
    exchange.getResponseHeaders().put(Headers.ETAG, download.etag());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/octet-stream");
    exchange.getResponseHeaders().put(Headers.ACCEPT_RANGES, "bytes");
    if (!download.satisfiable()) {
      exchange.setStatusCode(StatusCodes.REQUEST_RANGE_NOT_SATISFIABLE);
      exchange.getResponseHeaders().put(Headers.CONTENT_RANGE, "bytes */" + download.length());
      exchange.endExchange();
      return;
    }
    if (download.partial()) {
      exchange.setStatusCode(StatusCodes.PARTIAL_CONTENT);
      exchange.getResponseHeaders().put(Headers.CONTENT_RANGE, download.contentRange());
    }
    exchange.setResponseContentLength(download.remaining());
    OutputStream out = exchange.getOutputStream();
    download.write(out, cut ? download.remaining() / 2 : download.remaining());
    end(exchange, out, cut);
  }

  private static void sendDocument(
      HttpServerExchange exchange, Answer.DocumentJson document, boolean cut) throws IOException {
    byte[] body = encode(document);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.setResponseContentLength(body.length);
    OutputStream out = exchange.getOutputStream();
    out.write(body, 0, cut ? body.length / 2 : body.length);
    end(exchange, out, cut);
  }

  private static void end(HttpServerExchange exchange, OutputStream out, boolean cut)
      throws IOException {
    if (cut) {
      out.flush();
      Exchanges.abort(exchange);
    } else {
      exchange.endExchange();
    }
  }

  private static byte[] encode(Answer.DocumentJson document) throws JsonProcessingException {
    return Exchanges.JSON.writeValueAsBytes(document);
  }
}
