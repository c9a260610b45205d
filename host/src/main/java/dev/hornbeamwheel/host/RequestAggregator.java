package dev.hornbeamwheel.host;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/** Joins the parts of a request, and reports one that is too long in place of answering it. */
final class RequestAggregator extends HttpObjectAggregator {
  private final Runnable onOversized;

  /**
   * Creates an aggregator.
   *
   * @param maxBodyBytes longest body, in bytes
   * @param tooLong told of a longer one; an answer must not go out before those of earlier requests
   */
  RequestAggregator(int maxBodyBytes, Runnable tooLong) {
    super(maxBodyBytes);
    this.onOversized = tooLong;
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    onOversized.run();
  }
}
