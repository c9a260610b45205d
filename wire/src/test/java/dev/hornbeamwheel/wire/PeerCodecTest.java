package dev.hornbeamwheel.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.hornbeamwheel.core.claims.ClaimMessage;
import dev.hornbeamwheel.core.dispatch.DispatchMessage;
import dev.hornbeamwheel.core.limits.LimitsMessage;
import dev.hornbeamwheel.core.membership.GossipMessage;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.node.PeerMessage;
import dev.hornbeamwheel.core.ownership.OwnershipMessage;
import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

final class PeerCodecTest {
  private static final int TRIES = 200;
  private static final MemberId SENDER = MemberId.of("quimper-1/controller");
  private static final Incarnation INCARNATION = Incarnation.of(-7);

  @Property(tries = TRIES, seed = "1")
  void keepsOwnershipMessages(@ForAll("ownership") OwnershipMessage message)
      throws MalformedMessageException {
    assertKept(new PeerMessage.Ownership(message));
  }

  @Property(tries = TRIES, seed = "1")
  void keepsGossipMessages(@ForAll("gossip") GossipMessage message)
      throws MalformedMessageException {
    assertKept(new PeerMessage.Gossip(message));
  }

  @Property(tries = TRIES, seed = "1")
  void keepsDispatchMessages(@ForAll("dispatch") DispatchMessage message)
      throws MalformedMessageException {
    assertKept(new PeerMessage.Dispatch(message));
  }

  @Property(tries = TRIES, seed = "1")
  void keepsClaimMessages(@ForAll("claim") ClaimMessage message) throws MalformedMessageException {
    assertKept(new PeerMessage.Claim(message));
  }

  @Property(tries = TRIES, seed = "1")
  void keepsLimitsMessages(@ForAll("limits") LimitsMessage message)
      throws MalformedMessageException {
    assertKept(new PeerMessage.Limits(message));
  }

  @Example
  void keepsASlotRequestThatAnyUpstreamMayServe() throws MalformedMessageException {
    assertKept(
        new PeerMessage.Dispatch(
            new DispatchMessage.SlotRequest(
                ServiceId.of("baymap"),
                DataCentreId.of("ayutthaya"),
                RequestId.of("r-1"),
                null,
                List.of(),
                0,
                5,
                200)));
  }

  @Property(tries = TRIES, seed = "1")
  void refusesArbitraryBytesByExceptionOfItsOwnAlone(@ForAll byte[] bytes) {
    try {
      assertThat(PeerCodec.decode(bytes).sender()).isNotNull();
    } catch (MalformedMessageException expected) {
      assertThat(expected).hasMessageStartingWith("malformed peer message");
    }
  }

  @Example
  void refusesAnEmptyFrame() {
    assertThatThrownBy(() -> PeerCodec.decode(new byte[0]))
        .isInstanceOf(MalformedMessageException.class);
  }

  @Provide
  Arbitrary<OwnershipMessage> ownership() {
    return RecordArbitraries.of(OwnershipMessage.class);
  }

  @Provide
  Arbitrary<GossipMessage> gossip() {
    return RecordArbitraries.of(GossipMessage.class);
  }

  @Provide
  Arbitrary<DispatchMessage> dispatch() {
    return RecordArbitraries.of(DispatchMessage.class);
  }

  @Provide
  Arbitrary<ClaimMessage> claim() {
    return RecordArbitraries.of(ClaimMessage.class);
  }

  @Provide
  Arbitrary<LimitsMessage> limits() {
    return RecordArbitraries.of(LimitsMessage.class);
  }

  private static void assertKept(PeerMessage message) throws MalformedMessageException {
    PeerFrame frame = new PeerFrame(SENDER, INCARNATION, message);
    assertThat(PeerCodec.decode(PeerCodec.encode(frame))).isEqualTo(frame);
  }
}
