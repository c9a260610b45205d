package dev.hornbeamwheel.wire;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/** Frames on a connection: four bytes of length, then the message. */
final class FrameFormat {
  /** Greatest length of a message, in bytes. */
  static final int MAX_FRAME_BYTES = 8 << 20;

  /** Length of the header, in bytes. */
  static final int HEADER_BYTES = 4;

  private FrameFormat() {}

  static void addReader(ChannelPipeline pipeline) {
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, HEADER_BYTES, 0, HEADER_BYTES));
  }

  static void addWriter(ChannelPipeline pipeline) {
    pipeline.addLast(new LengthFieldPrepender(HEADER_BYTES));
  }
}
