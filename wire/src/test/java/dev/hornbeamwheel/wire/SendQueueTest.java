package dev.hornbeamwheel.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class SendQueueTest {
  private final SendQueue queue = new SendQueue();

  @Test
  void dropsTheOldestFrameWhenTheCountIsReached() {
    int dropped = IntStream.rangeClosed(0, SendQueue.MAX_FRAMES).map(i -> add(1, i == 0)).sum();

    assertThat(dropped).isEqualTo(1);
    assertThat(queue.poll().gossip()).isFalse();
    assertThat(queue.size()).isEqualTo(SendQueue.MAX_FRAMES - 1);
  }

  @Test
  void dropsTheOldestFrameWhenTheBytesAreReachedButNeverTheNewest() {
    add(SendQueue.MAX_BYTES, true);

    assertThat(add(2 * SendQueue.MAX_BYTES, false)).isEqualTo(1);
    assertThat(queue.poll().size()).isEqualTo(2 * SendQueue.MAX_BYTES);
    assertThat(queue.poll()).isNull();
  }

  private int add(int bytes, boolean gossip) {
    return queue.add(new OutboundFrame(Unpooled.wrappedBuffer(new byte[bytes]), gossip));
  }
}
