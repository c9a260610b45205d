package dev.hornbeamwheel.host;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Counts the bodies that arrive on a connection before they are aggregated, and discards the input
 * after a request that is refused.
 */
final class BodyGate extends ChannelInboundHandlerAdapter {
  private final CallerBuffers buffers;
  private final CallerConnection connection;
  private final int maxBodyBytes;
  private boolean discarding;

  /**
   * Creates a gate.
   *
   * @param maxBodyBytes maximum size of a body, in bytes; the aggregator rejects larger ones
   */
  BodyGate(CallerBuffers buffers, CallerConnection connection, int maxBodyBytes) {
    this.buffers = buffers;
    this.connection = connection;
    this.maxBodyBytes = maxBodyBytes;
  }

  /** Discards all further input, and the part of a body that has been counted. */
  void discard() {
    discarding = true;
    buffers.abandon(connection);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!discarding && message instanceof HttpRequest head) {
      begin(head);
    }
    if (!discarding && message instanceof HttpContent piece && buffers.reading(connection)) {
      count(piece);
    }
    if (discarding || connection.refused()) {
      ReferenceCountUtil.release(message);
    } else {
      context.fireChannelRead(message);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    buffers.abandon(connection);
    context.fireChannelInactive();
  }

  private void begin(HttpRequest head) {
    if (head.decoderResult().isFailure()) {
      return;
    }
    long declaredBytes = HttpUtil.getContentLength(head, 0L);
    boolean hasBody = declaredBytes > 0 || HttpUtil.isTransferEncodingChunked(head);
    if (!hasBody || declaredBytes > maxBodyBytes) {
      return;
    }
    connection.bodyBegins(head);
    if (!buffers.begin(connection, declaredBytes)) {
      discarding = true;
      connection.refuseBody();
    }
  }

  private void count(HttpContent piece) {
    int bytes = piece.content().readableBytes();
    if (bytes > 0 && !buffers.receive(connection, bytes)) {
      discarding = true;
      connection.refuseBody();
    } else if (piece instanceof LastHttpContent) {
      connection.bodyCompleted(buffers.complete(connection));
    }
  }
}
