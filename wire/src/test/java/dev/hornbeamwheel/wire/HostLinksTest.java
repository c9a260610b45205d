package dev.hornbeamwheel.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.UnknownFieldSet;
import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.node.HostMessage;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.proto.host.HostFrame;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Connections between hosts of different builds. */
final class HostLinksTest {
  private static final int UNKNOWN_KIND = 9_999;
  private static final int MESSAGES = 5;
  private static final int TIMEOUT_SECONDS = 10;

  /** Records the messages that hosts send. */
  private static final class Recorder implements HostLinkListener {
    private final BlockingQueue<HostMessage> received = new LinkedBlockingQueue<>();

    @Override
    public void hostSaid(LinkId link, HostMessage message) {
      received.add(message);
    }

    @Override
    public void hostGone(LinkId link) {}

    @Override
    public void coordinatorConnected(long term) {}

    @Override
    public void coordinatorSaid(long term, HostMessage message) {}

    @Override
    public void coordinatorGone(long term) {}

    @Override
    public void sent(HostMessage message, int bytes) {}
  }

  /** Guards against a link that ends with each message of a kind that a later build has added. */
  @Test
  void aMessageOfAnUnknownKindIsPassedOver() throws Exception {
    EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    Recorder recorder = new Recorder();
    Address address = new Address("127.0.0.1", freePort());
    HostLinks.create(loop, recorder).listen(address);

    try (Socket host = new Socket(address.host(), address.port())) {
      DataOutputStream out = new DataOutputStream(host.getOutputStream());
      for (long number = 0; number < MESSAGES; number++) {
        HostMessage known = new HostMessage.Cancel(number);
        write(out, unknownKind());
        write(out, HostMessageMapping.toProto(known));

        assertThat(recorder.received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(known);
      }
    } finally {
      loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
  }

  private static HostFrame unknownKind() {
    UnknownFieldSet.Field field = UnknownFieldSet.Field.newBuilder().addVarint(1).build();
    return HostFrame.newBuilder()
        .setUnknownFields(UnknownFieldSet.newBuilder().addField(UNKNOWN_KIND, field).build())
        .build();
  }

  private static void write(DataOutputStream out, HostFrame frame) throws IOException {
    byte[] bytes = frame.toByteArray();
    out.writeInt(bytes.length);
    out.write(bytes);
    out.flush();
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
