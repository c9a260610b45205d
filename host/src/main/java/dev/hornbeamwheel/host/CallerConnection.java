package dev.hornbeamwheel.host;

import dev.hornbeamwheel.wire.Channels;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * An HTTP connection from a caller. Pipelined requests run concurrently; their responses are sent
 * in request order.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  /** Number of unanswered requests at which reading from the connection pauses. */
  private static final int MAX_PIPELINED_REQUESTS = 32;

  private final CallerServer server;
  private final Deque<Exchange> pending = new ArrayDeque<>();
  private Channel channel;
  private boolean closing;
  private long lastUnsentBytes;
  private HttpRequest bodyHead;
  private long completedBodyBytes;
  private FullHttpResponse refusal;
  private String closeCause = "the caller or the network";

  CallerConnection(CallerServer server) {
    super(false);
    this.server = server;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    channel = context.channel();
    server.connectionOpened(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    List<Exchange> unanswered = List.copyOf(pending);
    pending.clear();
    server.connectionClosed(this, closeCause, unanswered);
    drop(unanswered);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    long bodyBytes = completedBodyBytes;
    completedBodyBytes = 0;
    if (closing) {
      request.release();
      server.buffers().release(bodyBytes);
    } else if (request.decoderResult().isFailure()) {
      boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
      request.release();
      server.buffers().release(bodyBytes);
      reject(
          tooLong
              ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
              : HttpResponseStatus.BAD_REQUEST);
    } else {
      Exchange exchange = server.createExchange(this, request, bodyBytes);
      pending.add(exchange);
      updateAutoRead();
      server.requestArrived(exchange);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    closeCause = String.valueOf(cause);
    Channels.close(context.channel());
  }

  /** Returns the number of response bytes that the socket has not accepted yet. */
  long unsentBytes() {
    return Channels.unsentBytes(channel);
  }

  /**
   * Returns the number of response bytes that are buffered: those that the socket has not accepted,
   * and the responses that wait for the responses to earlier requests.
   */
  long bufferedResponseBytes() {
    long waiting = 0;
    for (Exchange exchange : pending) {
      FullHttpResponse response = exchange.callerResponse();
      waiting += response == null ? 0 : response.content().readableBytes();
    }
    return waiting + unsentBytes();
  }

  /** Reads from the connection, or not, as its requests and the buffered bytes demand. */
  void updateAutoRead() {
    if (!closing) {
      boolean read = pending.size() < MAX_PIPELINED_REQUESTS && server.buffers().mayRead(this);
      channel.config().setAutoRead(read);
    }
  }

  /** Notes the head of a request whose body is going to be read. */
  void bodyBegins(HttpRequest head) {
    bodyHead = head;
  }

  /** Notes the size of the body of the request that arrives next, as it was counted. */
  void bodyCompleted(long bytes) {
    completedBodyBytes = bytes;
  }

  /** Returns whether a request was refused, after which the input is not used. */
  boolean refused() {
    return refusal != null;
  }

  /** Refuses the request whose body does not fit, after the responses to earlier ones. */
  void refuseBody() {
    if (closing) {
      return;
    }
    closing = true;
    refusal = server.refuseBody(bodyHead);
    server.buffers().abandon(this);
    // A paused connection is read again, so that the end of the caller is noticed.
    channel.config().setAutoRead(true);
    if (pending.isEmpty()) {
      writeLast(refusal);
    }
  }

  /** Returns whether response bytes were queued or sent since the last call. */
  boolean writeProgressed() {
    long unsent = unsentBytes();
    boolean progressed = unsent != lastUnsentBytes;
    lastUnsentBytes = unsent;
    return progressed;
  }

  /** Returns whether the caller is still connected. */
  boolean connected() {
    return channel.isActive();
  }

  /** Returns whether no request is waiting for its response. */
  boolean idle() {
    return pending.isEmpty();
  }

  /** Sends the response of an exchange once all earlier responses have been sent. */
  void respond(Exchange exchange, FullHttpResponse response) {
    if (!pending.contains(exchange)) {
      // The exchange was dropped when the connection ended or its last response was sent.
      response.release();
      exchange.releaseRequest();
      return;
    }
    exchange.callerResponse(response);
    server.responseReady(this);
    while (!pending.isEmpty() && pending.peekFirst().callerResponse() != null) {
      writeResponse(pending.removeFirst());
    }
    channel.flush();
    updateAutoRead();
  }

  /** Returns whether every request is answered and the socket has accepted every response. */
  boolean drained() {
    return idle() && unsentBytes() == 0;
  }

  /** Closes the connection once all received requests are answered; repeat until it is closed. */
  void closeGracefully() {
    if (!idle()) {
      closing = true;
    } else if (!closing && drained()) {
      close("shutdown of this host");
    }
  }

  /** Closes the connection without a further response; {@code cause} goes into the log. */
  void close(String cause) {
    closing = true;
    closeCause = cause;
    server.connectionClosing(this);
    Channels.close(channel);
  }

  /** Rejects a request that cannot be read, is too large or too slow, and closes the connection. */
  void reject(HttpResponseStatus status) {
    if (closing) {
      return;
    }
    closing = true;
    if (!pending.isEmpty()) {
      // Earlier requests get their responses first; the last response closes the connection.
      return;
    }
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    writeLast(response);
  }

  private void writeLast(FullHttpResponse response) {
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    LingeringClose.afterWrite(channel.writeAndFlush(response));
  }

  private void drop(List<Exchange> unanswered) {
    for (Exchange exchange : unanswered) {
      if (exchange.callerResponse() != null) {
        // Its request has ended already; only this connection still holds its bytes.
        exchange.callerResponse().release();
        exchange.releaseRequest();
      } else {
        server.callerDisconnected(exchange);
      }
    }
  }

  private void writeResponse(Exchange exchange) {
    FullHttpResponse response = exchange.callerResponse();
    boolean lastReceived = pending.isEmpty() && refusal == null;
    boolean last = !exchange.keepAlive() || (lastReceived && (closing || server.stopping()));
    if (exchange.request().method().equals(HttpMethod.HEAD)) {
      response.content().clear();
    }
    exchange.releaseRequest();
    if (last) {
      closing = true;
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      LingeringClose.afterWrite(channel.write(response));
      // Requests after the response that closes the connection are dropped as if never read.
      List<Exchange> dropped = List.copyOf(pending);
      pending.clear();
      drop(dropped);
    } else {
      var unused = channel.write(response, channel.voidPromise());
      if (pending.isEmpty() && refusal != null) {
        writeLast(refusal);
      }
    }
  }
}
