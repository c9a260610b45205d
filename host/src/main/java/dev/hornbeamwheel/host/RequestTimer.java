package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.time.Clock;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/** Notes how long a caller takes to send a request; sits on both sides of the HTTP decoder. */
final class RequestTimer {
  private final Clock clock;
  private long activeMillis;
  private long headSinceMillis = -1;
  private boolean inBody;

  RequestTimer(Clock clock) {
    this.clock = clock;
    this.activeMillis = clock.millis();
  }

  /** Returns whether a request's head has been arriving for longer than a time. */
  boolean headLate(long nowMillis, long limitMillis) {
    return headSinceMillis >= 0 && !inBody && nowMillis - headSinceMillis > limitMillis;
  }

  /** Returns whether a part of a request has arrived. */
  boolean receiving() {
    return headSinceMillis >= 0;
  }

  /** Notes that the caller takes an answer. */
  void active() {
    activeMillis = clock.millis();
  }

  /** Returns whether the caller has neither sent nor taken anything for longer than a time. */
  boolean silent(long nowMillis, long limitMillis) {
    return nowMillis - activeMillis > limitMillis;
  }

  /** Returns the handler before the decoder. */
  ChannelInboundHandlerAdapter bytes() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        active();
        if (headSinceMillis < 0) {
          headSinceMillis = activeMillis;
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
