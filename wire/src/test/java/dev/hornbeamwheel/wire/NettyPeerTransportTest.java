package dev.hornbeamwheel.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.hornbeamwheel.core.limits.LimitsMessage;
import dev.hornbeamwheel.core.membership.GossipMessage;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.node.PeerMessage;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class NettyPeerTransportTest {
  private static final long PATIENCE_SECONDS = 30;
  private static final MemberId A = MemberId.of("quimper-1/router");
  private static final MemberId B = MemberId.of("quimper-1/controller");
  private static final PeerMessage HEARTBEAT =
      new PeerMessage.Gossip(new GossipMessage.Heartbeat());

  private final Recorder recorderA = new Recorder();
  private final Recorder recorderB = new Recorder();
  private PeerTransport a;
  private PeerTransport b;

  @BeforeEach
  void open() throws IOException {
    a = listen(A, recorderA, 0);
    b = listen(B, recorderB, 0);
  }

  @AfterEach
  void close() {
    a.close();
    b.close();
  }

  @Test
  void carriesMessagesBothWaysWithTheirSender() throws InterruptedException {
    a.addressKnown(B, b.address());
    b.addressKnown(A, a.address());
    a.send(B, HEARTBEAT);
    b.send(A, HEARTBEAT);

    assertThat(recorderB.next()).isEqualTo(new PeerFrame(A, Incarnation.of(1), HEARTBEAT));
    assertThat(recorderA.next()).isEqualTo(new PeerFrame(B, Incarnation.of(1), HEARTBEAT));
    assertThat(a.counters().gossipBytes()).isEqualTo(b.counters().receivedBytes()).isPositive();
  }

  @Test
  void countsMessagesToUnknownMembersAsDropped() {
    a.send(B, HEARTBEAT);

    assertThat(a.counters().droppedMessages()).isEqualTo(1);
  }

  @Test
  void reportsAnUnreachableMemberAndDeliversOnceItIsBack() throws Exception {
    int port = b.address().getPort();
    b.close();
    a.addressKnown(B, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    a.send(B, HEARTBEAT);
    assertThat(recorderA.unreachable.poll(PATIENCE_SECONDS, TimeUnit.SECONDS)).isEqualTo(B);

    b = listen(B, recorderB, port);
    assertThat(recorderB.next().message()).isEqualTo(HEARTBEAT);
  }

  @Test
  void passesOverMalformedFramesAndClosesOnOversizedOnes() throws Exception {
    try (Socket socket = new Socket(b.address().getAddress(), b.address().getPort())) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(3);
      out.write(new byte[] {1, 2, 3});
      byte[] valid = PeerCodec.encode(new PeerFrame(A, Incarnation.of(1), HEARTBEAT));
      out.writeInt(valid.length);
      out.write(valid);
      out.flush();
      assertThat(recorderB.next().sender()).isEqualTo(A);
      assertThat(b.counters().malformedFrames()).isEqualTo(1);

      out.writeInt(Integer.MAX_VALUE);
      out.flush();
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS));
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
  }

  @Test
  void sendsWhatIsLargerThanTheBufferOfAConnection() throws InterruptedException {
    a.addressKnown(B, b.address());
    LimitsMessage.Request request =
        new LimitsMessage.Request(0, Incarnation.of(1), 1, 0, List.of());
    for (int i = 0; i < SendQueue.MAX_FRAMES; i++) {
      a.send(B, new PeerMessage.Limits(request));
    }
    for (int i = 0; i < SendQueue.MAX_FRAMES; i++) {
      assertThat(recorderB.next().message()).isEqualTo(new PeerMessage.Limits(request));
    }
  }

  @Test
  void refusesAnAddressThatIsInUse() {
    assertThatThrownBy(() -> listen(A, recorderA, b.address().getPort()))
        .isInstanceOf(IOException.class);
  }

  private static PeerTransport listen(MemberId member, Recorder recorder, int port)
      throws IOException {
    return NettyPeerTransport.listen(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
        member,
        Incarnation.of(1),
        recorder);
  }

  private static final class Recorder implements PeerListener {
    private final BlockingQueue<PeerFrame> frames = new LinkedBlockingQueue<>();
    private final BlockingQueue<MemberId> unreachable = new LinkedBlockingQueue<>();

    PeerFrame next() throws InterruptedException {
      return frames.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void received(MemberId from, Incarnation incarnation, PeerMessage message) {
      frames.add(new PeerFrame(from, incarnation, message));
    }

    @Override
    public void unreachable(MemberId member) {
      unreachable.add(member);
    }
  }
}
