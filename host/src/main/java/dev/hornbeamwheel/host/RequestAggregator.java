package dev.hornbeamwheel.host;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/** Aggregates the parts of a request; reports an oversized request instead of responding to it. */
final class RequestAggregator extends HttpObjectAggregator {
  private final Runnable onOversized;

  /**
   * Creates an aggregator.
   *
   * @param maxBodyBytes maximum size of a body, in bytes
   * @param onOversized run for a larger body; the aggregator itself does not respond because the
   *     responses to earlier requests must be sent first
   */
  RequestAggregator(int maxBodyBytes, Runnable onOversized) {
    super(maxBodyBytes);
    this.onOversized = onOversized;
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage request) {
    onOversized.run();
  }
}
