package dev.hornbeamwheel.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.node.PeerMessage;
import dev.hornbeamwheel.proto.Envelope;

/** Turns messages between members into bytes and back. */
public final class PeerCodec {
  private PeerCodec() {}

  /** Returns the bytes of a frame. */
  public static byte[] encode(PeerFrame frame) {
    return envelope(frame).toByteArray();
  }

  /**
   * Returns the frame that {@code bytes} hold.
   *
   * @throws MalformedMessageException if they are not a message that this version understands
   */
  public static PeerFrame decode(byte[] bytes) throws MalformedMessageException {
    try {
      Envelope envelope = Envelope.parseFrom(bytes);
      return new PeerFrame(
          MemberId.of(envelope.getSender()),
          Incarnation.of(envelope.getIncarnation()),
          message(envelope));
    } catch (InvalidProtocolBufferException
        | IllegalArgumentException
        | IndexOutOfBoundsException e) {
      throw new MalformedMessageException("malformed peer message: " + e.getMessage(), e);
    }
  }

  private static Envelope envelope(PeerFrame frame) {
    Envelope.Builder envelope =
        Envelope.newBuilder()
            .setSender(frame.sender().value())
            .setIncarnation(frame.incarnation().value());
    PeerMessage message = frame.message();
    if (message instanceof PeerMessage.Ownership ownership) {
      envelope.setOwnership(OwnershipMapping.toProto(ownership.message()));
    } else if (message instanceof PeerMessage.Gossip gossip) {
      envelope.setGossip(GossipMapping.toProto(gossip.message()));
    } else if (message instanceof PeerMessage.Dispatch dispatch) {
      envelope.setDispatch(DispatchMapping.toProto(dispatch.message()));
    } else if (message instanceof PeerMessage.Claim claim) {
      envelope.setClaim(ClaimMapping.toProto(claim.message()));
    } else if (message instanceof PeerMessage.Limits limits) {
      envelope.setLimits(LimitsMapping.toProto(limits.message()));
    }
    return envelope.build();
  }

  private static PeerMessage message(Envelope envelope) {
    return switch (envelope.getBodyCase()) {
      case OWNERSHIP ->
          new PeerMessage.Ownership(OwnershipMapping.fromProto(envelope.getOwnership()));
      case GOSSIP -> new PeerMessage.Gossip(GossipMapping.fromProto(envelope.getGossip()));
      case DISPATCH -> new PeerMessage.Dispatch(DispatchMapping.fromProto(envelope.getDispatch()));
      case CLAIM -> new PeerMessage.Claim(ClaimMapping.fromProto(envelope.getClaim()));
      case LIMITS -> new PeerMessage.Limits(LimitsMapping.fromProto(envelope.getLimits()));
      case BODY_NOT_SET -> throw new IllegalArgumentException("the envelope is empty");
    };
  }
}
