package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.time.Clock;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/** Notes how long a caller takes to send a request; sits on both sides of the HTTP decoder. */
final class RequestTimer {
  private final Clock clock;
  private long lastActiveMillis;
  private long headerStartMillis = -1;
  private boolean inBody;

  RequestTimer(Clock clock) {
    this.clock = clock;
    this.lastActiveMillis = clock.millis();
  }

  /** Returns whether a request's head has been arriving for longer than a time. */
  boolean headerTimedOut(long nowMillis, long limitMillis) {
    return headerStartMillis >= 0 && !inBody && nowMillis - headerStartMillis > limitMillis;
  }

  /** Returns whether a part of a request has arrived. */
  boolean receiving() {
    return headerStartMillis >= 0;
  }

  /** Notes that the caller takes an answer. */
  void recordActivity() {
    lastActiveMillis = clock.millis();
  }

  /** Returns whether the caller has neither sent nor taken anything for longer than a time. */
  boolean idleLongerThan(long nowMillis, long limitMillis) {
    return nowMillis - lastActiveMillis > limitMillis;
  }

  /** Returns the handler before the decoder. */
  ChannelInboundHandlerAdapter beforeDecoder() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        recordActivity();
        if (headerStartMillis < 0) {
          headerStartMillis = lastActiveMillis;
        }
        context.fireChannelRead(message);
      }
    };
  }

  /** Returns the handler behind the decoder. */
  ChannelInboundHandlerAdapter afterDecoder() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest) {
          inBody = true;
        }
        if (message instanceof LastHttpContent) {
          inBody = false;
          headerStartMillis = -1;
        }
        context.fireChannelRead(message);
      }
    };
  }
}
