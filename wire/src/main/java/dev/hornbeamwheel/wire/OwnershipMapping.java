package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.Term;
import dev.hornbeamwheel.core.ownership.OwnershipMessage;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.Heartbeat;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.HeartbeatReply;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.LeadershipTransfer;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.PromiseReply;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.PromiseRequest;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.RowStored;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.SealReply;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.SealRequest;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.StoreRow;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.TermsClosed;
import dev.hornbeamwheel.proto.OwnershipBody;
import dev.hornbeamwheel.proto.TermId;
import java.util.Optional;

/** Protobuf form of messages about the leadership of cells. */
final class OwnershipMapping {
  private OwnershipMapping() {}

  static OwnershipBody toProto(OwnershipMessage message) {
    OwnershipBody.Builder body = OwnershipBody.newBuilder();
    if (message instanceof Heartbeat heartbeat) {
      body.setHeartbeat(heartbeat(heartbeat));
    } else if (message instanceof HeartbeatReply promises) {
      body.setPromises(promises(promises));
    } else if (message instanceof StoreRow store) {
      body.getStoreRowBuilder()
          .setTerm(term(store.term()))
          .setRow(CellRowMapping.toProto(store.row()));
    } else if (message instanceof RowStored stored) {
      body.getRowStoredBuilder()
          .setCell(CellMapping.toProto(stored.cell()))
          .setTerm(term(stored.term()))
          .setAccepted(stored.accepted())
          .setVersion(stored.version());
    } else if (message instanceof SealRequest seal) {
      body.getSealRequestBuilder()
          .setTo(seal.target().value())
          .setCell(CellMapping.toProto(seal.cell()))
          .setNumber(seal.termNumber());
    } else if (message instanceof SealReply reply) {
      body.getSealReplyBuilder()
          .setTo(reply.target().value())
          .setCell(CellMapping.toProto(reply.cell()))
          .setNumber(reply.termNumber())
          .setLed(reply.promiseActive())
          .addAllClaims(reply.claims());
    } else if (message instanceof LeadershipTransfer handOver) {
      body.getHandOverBuilder()
          .setCell(CellMapping.toProto(handOver.cell()))
          .setTerm(term(handOver.term()))
          .setSuccessor(handOver.successor().value());
    } else if (message instanceof TermsClosed closed) {
      body.getNumberClosedBuilder()
          .setNumber(closed.termNumber())
          .setRow(CellRowMapping.toProto(closed.row()))
          .setSuccessor(closed.successor().value());
    }
    return body.build();
  }

  static OwnershipMessage fromProto(OwnershipBody body) {
    return switch (body.getMessageCase()) {
      case HEARTBEAT -> heartbeat(body.getHeartbeat());
      case PROMISES -> promises(body.getPromises());
      case STORE_ROW ->
          new StoreRow(
              term(body.getStoreRow().getTerm()),
              CellRowMapping.fromProto(body.getStoreRow().getRow()));
      case ROW_STORED -> rowStored(body.getRowStored());
      case SEAL_REQUEST ->
          new SealRequest(
              Incarnation.of(body.getSealRequest().getTo()),
              CellMapping.fromProto(body.getSealRequest().getCell()),
              body.getSealRequest().getNumber());
      case SEAL_REPLY ->
          new SealReply(
              Incarnation.of(body.getSealReply().getTo()),
              CellMapping.fromProto(body.getSealReply().getCell()),
              body.getSealReply().getNumber(),
              body.getSealReply().getLed(),
              body.getSealReply().getClaimsList());
      case HAND_OVER ->
          new LeadershipTransfer(
              CellMapping.fromProto(body.getHandOver().getCell()),
              term(body.getHandOver().getTerm()),
              MemberId.of(body.getHandOver().getSuccessor()));
      case NUMBER_CLOSED ->
          new TermsClosed(
              body.getNumberClosed().getNumber(),
              CellRowMapping.fromProto(body.getNumberClosed().getRow()),
              MemberId.of(body.getNumberClosed().getSuccessor()));
      case MESSAGE_NOT_SET -> throw new IllegalArgumentException("empty ownership message");
    };
  }

  private static OwnershipBody.Heartbeat heartbeat(Heartbeat heartbeat) {
    OwnershipBody.Heartbeat.Builder proto =
        OwnershipBody.Heartbeat.newBuilder()
            .setTo(heartbeat.target().value())
            .setSentAtMillis(heartbeat.sentAtMillis());
    heartbeat
        .requests()
        .forEach(
            request ->
                proto
                    .addRequestsBuilder()
                    .setCell(CellMapping.toProto(request.cell()))
                    .setTerm(term(request.term()))
                    .setRowVersion(request.rowVersion()));
    return proto.build();
  }

  private static Heartbeat heartbeat(OwnershipBody.Heartbeat proto) {
    return new Heartbeat(
        Incarnation.of(proto.getTo()),
        proto.getSentAtMillis(),
        proto.getRequestsList().stream()
            .map(
                request ->
                    new PromiseRequest(
                        CellMapping.fromProto(request.getCell()),
                        term(request.getTerm()),
                        request.getRowVersion()))
            .toList());
  }

  private static OwnershipBody.Promises promises(HeartbeatReply promises) {
    return OwnershipBody.Promises.newBuilder()
        .setSentAtMillis(promises.sentAtMillis())
        .addAllReplies(promises.replies().stream().map(OwnershipMapping::reply).toList())
        .build();
  }

  private static HeartbeatReply promises(OwnershipBody.Promises proto) {
    return new HeartbeatReply(
        proto.getSentAtMillis(),
        proto.getRepliesList().stream().map(OwnershipMapping::reply).toList());
  }

  private static OwnershipBody.PromiseReply reply(PromiseReply reply) {
    OwnershipBody.PromiseReply.Builder proto =
        OwnershipBody.PromiseReply.newBuilder()
            .setCell(CellMapping.toProto(reply.cell()))
            .setTerm(term(reply.term()))
            .setPromised(reply.promised())
            .setLatest(term(reply.latest()))
            .setRowVersion(reply.rowVersion());
    reply.row().ifPresent(row -> proto.setRow(CellRowMapping.toProto(row)));
    return proto.build();
  }

  private static PromiseReply reply(OwnershipBody.PromiseReply proto) {
    return new PromiseReply(
        CellMapping.fromProto(proto.getCell()),
        term(proto.getTerm()),
        proto.getPromised(),
        term(proto.getLatest()),
        proto.getRowVersion(),
        proto.hasRow() ? Optional.of(CellRowMapping.fromProto(proto.getRow())) : Optional.empty());
  }

  private static RowStored rowStored(OwnershipBody.RowStored proto) {
    return new RowStored(
        CellMapping.fromProto(proto.getCell()),
        term(proto.getTerm()),
        proto.getAccepted(),
        proto.getVersion());
  }

  private static TermId term(Term term) {
    return TermId.newBuilder().setNumber(term.number()).setRound(term.round()).build();
  }

  private static Term term(TermId term) {
    return Term.of(term.getNumber(), term.getRound());
  }
}
