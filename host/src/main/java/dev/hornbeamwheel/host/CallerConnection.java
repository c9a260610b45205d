package dev.hornbeamwheel.host;

import dev.hornbeamwheel.wire.Channels;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * One connection of a caller. Requests that arrive before the first is answered run at the same
 * time; answers go out in the order of the requests.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  /** Requests of one connection that may wait for their answers. */
  private static final int MAX_PIPELINED_REQUESTS = 32;

  private final CallerServer server;
  private final Deque<Exchange> pending = new ArrayDeque<>();
  private Channel channel;
  private boolean closing;
  private long lastUnsentBytes;
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
    List<Exchange> left = List.copyOf(pending);
    pending.clear();
    server.connectionClosed(this, closeCause, left);
    left.forEach(server::callerDisconnected);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (closing) {
      request.release();
    } else if (request.decoderResult().isFailure()) {
      boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
      request.release();
      reject(
          tooLong
              ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
              : HttpResponseStatus.BAD_REQUEST);
    } else {
      Exchange exchange = server.createExchange(this, request, HttpUtil.isKeepAlive(request));
      pending.add(exchange);
      if (pending.size() >= MAX_PIPELINED_REQUESTS) {
        channel.config().setAutoRead(false);
      }
      server.requestArrived(exchange);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    closeCause = String.valueOf(cause);
    Channels.close(context.channel());
  }

  /** Returns how many bytes of answers the connection has not taken yet. */
  long unsentBytes() {
    ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
    return unsent == null ? 0 : unsent.totalPendingWriteBytes();
  }

  /** Returns whether answers are on their way, and the caller took some bytes of late. */
  boolean writeProgressed() {
    ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
    // The total counts a buffer whole until its last byte is sent.
    long first = unsent != null && unsent.current() instanceof ByteBuf b ? b.readableBytes() : 0;
    long left = unsentBytes() + first;
    boolean moved = left != lastUnsentBytes;
    lastUnsentBytes = left;
    return moved;
  }

  /** Returns whether the caller is still connected. */
  boolean connected() {
    return channel.isActive();
  }

  /** Returns whether no request waits for its answer. */
  boolean idle() {
    return pending.isEmpty();
  }

  /** Sends the answer of an exchange once all earlier ones are sent. */
  void respond(Exchange exchange, FullHttpResponse response) {
    exchange.callerResponse(response);
    server.responseReady(this);
    while (!pending.isEmpty() && pending.peekFirst().callerResponse() != null) {
      writeResponse(pending.removeFirst());
    }
    channel.flush();
    if (!closing && pending.size() < MAX_PIPELINED_REQUESTS) {
      channel.config().setAutoRead(true);
    }
  }

  /** Returns whether no request waits for its answer, and all answers are sent. */
  boolean drained() {
    return idle() && unsentBytes() == 0;
  }

  /** Ends the connection as soon as all requests that have arrived are answered. */
  void closeGracefully() {
    if (!idle()) {
      closing = true;
    } else if (!closing && drained()) {
      close("this host, which is stopping");
    }
  }

  /** Closes the connection without a further answer. */
  void close(String by) {
    closing = true;
    closeCause = by;
    server.connectionClosing(this);
    Channels.close(channel);
  }

  /** Answers what cannot be read as a request, and closes. */
  void reject(HttpResponseStatus status) {
    if (closing) {
      return;
    }
    closing = true;
    if (!pending.isEmpty()) {
      // Earlier requests get their answers first; the connection ends with the last of them.
      return;
    }
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_LENGTH, 0)
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    LingeringClose.afterWrite(channel.writeAndFlush(response));
  }

  private void writeResponse(Exchange exchange) {
    FullHttpResponse response = exchange.callerResponse();
    boolean last = !exchange.keepAlive() || (pending.isEmpty() && (closing || server.stopping()));
    if (exchange.request().method().equals(HttpMethod.HEAD)) {
      response.content().clear();
    }
    exchange.request().release();
    if (last) {
      closing = true;
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      LingeringClose.afterWrite(channel.write(response));
      // Requests behind an answer that ends the connection count as unread.
      List<Exchange> unread = List.copyOf(pending);
      pending.clear();
      unread.forEach(server::callerDisconnected);
    } else {
      var unused = channel.write(response, channel.voidPromise());
    }
  }
}
