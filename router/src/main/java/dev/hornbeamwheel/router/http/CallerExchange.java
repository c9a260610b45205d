package dev.hornbeamwheel.router.http;

import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.routing.Outcome;
import dev.hornbeamwheel.core.routing.ProblemKind;
import dev.hornbeamwheel.router.upstream.AnswerHead;
import dev.hornbeamwheel.router.upstream.EndToEndHeaders;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import okio.ByteString;
import org.xnio.IoUtils;

/**
 * The answer to one caller, which is whole, or a problem document, or visibly broken.
 *
 * <p>A short body is held back until it is whole. A long one is streamed; if it cannot be finished,
 * the connection is closed before the announced end. Any thread may call; of the calls that end the
 * answer the first one counts.
 */
public final class CallerExchange {
  /** Size of the longest body that is held back until it is whole, in bytes. */
  private static final int HELD_BACK_BYTES = 65_536;

  private enum State {
    HELD,
    STREAMING,
    ENDED
  }

  private final HttpServerExchange exchange;
  private final CallerRequest request;
  private final ByteString body;
  private final ByteArrayOutputStream held = new ByteArrayOutputStream();
  private State state = State.HELD;
  private AnswerHead head;
  private OutputStream stream;

  private CallerExchange(HttpServerExchange exchange, CallerRequest request, ByteString body) {
    this.exchange = exchange;
    this.request = request;
    this.body = body;
  }

  static CallerExchange of(HttpServerExchange exchange, CallerRequest request, ByteString body) {
    return new CallerExchange(exchange, request, body);
  }

  /** Returns the checked request. */
  public CallerRequest request() {
    return request;
  }

  /** Returns the id of the request. */
  public RequestId id() {
    return request.id();
  }

  /** Returns the body of the request; empty if there is none. */
  public ByteString body() {
    return body;
  }

  /** Returns the headers of the request that pass on to an upstream. */
  public okhttp3.Headers headers() {
    okhttp3.Headers.Builder headers = new okhttp3.Headers.Builder();
    exchange
        .getRequestHeaders()
        .forEach(
            values ->
                values.forEach(
                    value -> headers.addUnsafeNonAscii(values.getHeaderName().toString(), value)));
    return EndToEndHeaders.of(headers.build());
  }

  /** Begins the answer; a resumed answer keeps its first head. */
  public synchronized void begin(AnswerHead answer) {
    if (head == null) {
      head = answer;
    }
  }

  /**
   * Passes body bytes on.
   *
   * @throws IOException if the answer has ended or the caller cannot be reached
   */
  public void write(byte[] buffer, int length) throws IOException {
    OutputStream target;
    synchronized (this) {
      if (state == State.ENDED) {
        throw new IOException("the answer has ended already");
      }
      if (state == State.HELD && held.size() + length <= HELD_BACK_BYTES) {
        held.write(buffer, 0, length);
        return;
      }
      target = startStreaming();
    }
    target.write(buffer, 0, length);
  }

  /** Ends the answer as whole. */
  public synchronized void complete() {
    State before = end();
    if (before == State.HELD) {
      exchange.getIoThread().execute(this::sendHeld);
    } else if (before == State.STREAMING) {
      exchange.getConnection().getWorker().execute(() -> IoUtils.safeClose(stream));
    }
  }

  /**
   * Ends the answer with a problem, visibly broken if part of it was sent.
   *
   * @param retryAfterMillis time after which a retry may succeed; zero if it says nothing
   */
  public synchronized void fail(ProblemKind problem, Outcome outcome, long retryAfterMillis) {
    ProblemDocument document = ProblemDocument.of(problem, outcome, request.shownId());
    State before = end();
    if (before == State.HELD) {
      exchange.getIoThread().execute(() -> Problems.send(exchange, document, retryAfterMillis));
    } else if (before == State.STREAMING) {
      IoUtils.safeClose(exchange.getConnection());
    }
  }

  /** Ends the answer as refused before it was routed. */
  public synchronized void refuse(RequestProblem problem, long retryAfterMillis) {
    ProblemDocument document = ProblemDocument.of(problem, request.shownId());
    if (end() == State.HELD) {
      exchange.getIoThread().execute(() -> Problems.send(exchange, document, retryAfterMillis));
    }
  }

  private State end() {
    State before = state;
    state = State.ENDED;
    return before;
  }

  private OutputStream startStreaming() throws IOException {
    if (state == State.HELD) {
      state = State.STREAMING;
      sendHead();
      if (head.length() >= 0) {
        exchange.setResponseContentLength(head.length());
      }
      exchange.startBlocking();
      stream = exchange.getOutputStream();
      held.writeTo(stream);
    }
    return stream;
  }

  private void sendHeld() {
    sendHead();
    if (request.method().equals("HEAD")) {
      exchange.endExchange();
      return;
    }
    exchange.getResponseSender().send(ByteBuffer.wrap(held.toByteArray()), IoCallback.END_EXCHANGE);
  }

  private void sendHead() {
    exchange.setStatusCode(head.status());
    head.headers()
        .forEach(
            header ->
                exchange
                    .getResponseHeaders()
                    .add(HttpString.tryFromString(header.getFirst()), header.getSecond()));
    exchange.getResponseHeaders().remove(Headers.CONTENT_LENGTH);
    exchange.getResponseHeaders().put(CallerHeaders.REQUEST_ID, request.shownId());
    exchange.getResponseHeaders().put(CallerHeaders.OUTCOME, OutcomeText.of(Outcome.COMPLETED));
  }
}
