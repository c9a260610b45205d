package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.time.Clock;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/** Notes how long a caller takes to send a request; sits on both sides of the HTTP decoder. */
final class RequestTimer {
  private final Clock clock;
  private long lastByteMillis;
  private long headSinceMillis = -1;
  private boolean inBody;

  RequestTimer(Clock clock) {
    this.clock = clock;
    this.lastByteMillis = clock.millis();
  }

  /** Returns whether a request's head has been arriving for longer than a time. */
  boolean headLate(long nowMillis, long limitMillis) {
    return headSinceMillis >= 0 && !inBody && nowMillis - headSinceMillis > limitMillis;
  }

  /** Returns whether nothing has arrived for longer than a time. */
  boolean silent(long nowMillis, long limitMillis) {
    return nowMillis - lastByteMillis > limitMillis;
  }

  /** Returns the handler before the decoder. */
  ChannelInboundHandlerAdapter bytes() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        lastByteMillis = clock.millis();
        if (headSinceMillis < 0) {
          headSinceMillis = lastByteMillis;
        }
        context.fireChannelRead(message);
      }
    };
  }

  /** Returns the handler behind the decoder. */
  ChannelInboundHandlerAdapter parts() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest) {
          inBody = true;
        }
        if (message instanceof LastHttpContent) {
          inBody = false;
          headSinceMillis = -1;
        }
        context.fireChannelRead(message);
      }
    };
  }
}
