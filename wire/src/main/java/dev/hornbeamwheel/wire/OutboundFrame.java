package dev.hornbeamwheel.wire;

import io.netty.buffer.ByteBuf;

/**
 * An encoded message on its way out.
 *
 * @param content the encoded message, in memory that the garbage collector frees
 * @param gossip whether it is a gossip message
 */
record OutboundFrame(ByteBuf content, boolean gossip) {
  int size() {
    return content.readableBytes();
  }
}
