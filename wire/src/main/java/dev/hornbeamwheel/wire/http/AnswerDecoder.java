package dev.hornbeamwheel.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/** Reads the answers on one connection, and bounds what arrives around their bodies. */
final class AnswerDecoder extends HttpResponseDecoder {
  /** Bytes of heads, chunk sizes and trailers that any answer may have. */
  private static final int FREE_FRAMING_BYTES = 24 << 10;

  /** Bytes of a body that allow for one more of these. */
  private static final int BODY_BYTES_PER_FRAMING_BYTE = 8;

  private final CallConnection connection;
  private int framingBytes;
  private int bodyBytes;

  AnswerDecoder(CallConnection connection) {
    this.connection = connection;
  }

  /** Begins to count anew, for the next call. */
  void callStarted() {
    framingBytes = 0;
    bodyBytes = 0;
  }

  /** Returns whether bytes were read that belong to no answer so far. */
  boolean hasUndecoded() {
    return actualReadableBytes() > 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (connection.received(((ByteBuf) message).readableBytes())) {
      super.channelRead(context, message);
    } else {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (framingBytes > FREE_FRAMING_BYTES + bodyBytes / BODY_BYTES_PER_FRAMING_BYTE) {
      throw new TooLongFrameException("too many bytes around the body of an answer");
    }
    int readableBefore = buffer.readableBytes();
    int decodedBefore = out.size();
    super.decode(context, buffer, out);
    int body = bodyBytes(out.subList(decodedBefore, out.size()));
    bodyBytes += body;
    framingBytes += readableBefore - buffer.readableBytes() - body;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return connection.asksForHead() || super.isContentAlwaysEmpty(message);
  }

  private static int bodyBytes(List<Object> decoded) {
    return decoded.stream()
        .filter(HttpContent.class::isInstance)
        .mapToInt(part -> ((HttpContent) part).content().readableBytes())
        .sum();
  }
}
