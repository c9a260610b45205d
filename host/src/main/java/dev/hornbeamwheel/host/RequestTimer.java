package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.time.Clock;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/** Tracks when a caller's request headers began to arrive, and the last activity of the caller. */
final class RequestTimer {
  private final Clock clock;
  private long lastActiveMillis;

  /** Arrival of the first bytes of the current request; negative between requests. */
  private long headerStartMillis = -1;

  private boolean inBody;

  RequestTimer(Clock clock) {
    this.clock = clock;
    this.lastActiveMillis = clock.millis();
  }

  /** Returns whether a request's headers have been incomplete for longer than a timeout. */
  boolean headerTimedOut(long nowMillis, long timeoutMillis) {
    return headerStartMillis >= 0 && !inBody && nowMillis - headerStartMillis > timeoutMillis;
  }

  /** Returns whether a request has arrived in part. */
  boolean receiving() {
    return headerStartMillis >= 0;
  }

  /** Records that bytes are being received from the caller or sent to it. */
  void recordActivity() {
    lastActiveMillis = clock.millis();
  }

  /** Returns whether the caller has neither sent nor received bytes for longer than a limit. */
  boolean idleLongerThan(long nowMillis, long limitMillis) {
    return nowMillis - lastActiveMillis > limitMillis;
  }

  /** Returns the handler to add before the HTTP decoder. */
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

  /** Returns the handler to add after the HTTP decoder. */
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
