package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.dispatch.DispatchMessage;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.HandOver;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.HeldLease;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.LeaseHeartbeat;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.LeaseHeartbeatAck;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.Recall;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.SlotLease;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.SlotRefused;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.SlotRequest;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.SlotRequestWithdrawn;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.SlotReturn;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.proto.DispatchBody;

/** Protobuf form of messages about slots. */
final class DispatchMapping {
  private DispatchMapping() {}

  static DispatchBody toProto(DispatchMessage message) {
    DispatchBody.Builder body =
        DispatchBody.newBuilder()
            .setService(message.service().value())
            .setDataCentre(message.dataCentre().value());
    if (message instanceof SlotRequest request) {
      body.setSlotRequest(slotRequest(request));
    } else if (message instanceof SlotRequestWithdrawn withdrawn) {
      body.getSlotRequestWithdrawnBuilder().setRequestId(withdrawn.requestId().value());
    } else if (message instanceof SlotLease lease) {
      body.setSlotLease(slotLease(lease));
    } else if (message instanceof SlotRefused refused) {
      body.getSlotRefusedBuilder()
          .setRequestId(refused.requestId().value())
          .setRetryAfterMillis(refused.retryAfterMillis());
    } else if (message instanceof Recall recall) {
      body.getRecallBuilder().addAllLeaseIds(recall.leaseIds());
    } else if (message instanceof SlotReturn slotReturn) {
      body.setSlotReturn(slotReturn(slotReturn));
    } else if (message instanceof LeaseHeartbeat holding) {
      body.setHolding(holding(holding));
    } else if (message instanceof LeaseHeartbeatAck ack) {
      body.getHoldingAckBuilder()
          .setStampMillis(ack.heartbeatSentAtMillis())
          .setDispatcherMillis(ack.dispatcherMillis())
          .addAllTemperatures(WarmUpStateMapping.allToProto(ack.warmUpStates()));
    } else if (message instanceof HandOver handOver) {
      body.getHandOverBuilder()
          .addAllTemperatures(WarmUpStateMapping.allToProto(handOver.warmUpStates()));
    }
    return body.build();
  }

  static DispatchMessage fromProto(DispatchBody body) {
    ServiceId service = ServiceId.of(body.getService());
    DataCentreId dataCentre = DataCentreId.of(body.getDataCentre());
    return switch (body.getMessageCase()) {
      case SLOT_REQUEST -> slotRequest(service, dataCentre, body.getSlotRequest());
      case SLOT_REQUEST_WITHDRAWN ->
          new SlotRequestWithdrawn(
              service, dataCentre, RequestId.of(body.getSlotRequestWithdrawn().getRequestId()));
      case SLOT_LEASE -> slotLease(service, dataCentre, body.getSlotLease());
      case SLOT_REFUSED ->
          new SlotRefused(
              service,
              dataCentre,
              RequestId.of(body.getSlotRefused().getRequestId()),
              body.getSlotRefused().getRetryAfterMillis());
      case RECALL -> new Recall(service, dataCentre, body.getRecall().getLeaseIdsList());
      case SLOT_RETURN -> slotReturn(service, dataCentre, body.getSlotReturn());
      case HOLDING -> holding(service, dataCentre, body.getHolding());
      case HOLDING_ACK ->
          new LeaseHeartbeatAck(
              service,
              dataCentre,
              body.getHoldingAck().getStampMillis(),
              body.getHoldingAck().getDispatcherMillis(),
              WarmUpStateMapping.allFromProto(body.getHoldingAck().getTemperaturesList()));
      case HAND_OVER ->
          new HandOver(
              service,
              dataCentre,
              WarmUpStateMapping.allFromProto(body.getHandOver().getTemperaturesList()));
      case MESSAGE_NOT_SET -> throw new IllegalArgumentException("empty dispatch message");
    };
  }

  private static DispatchBody.SlotRequest slotRequest(SlotRequest request) {
    return DispatchBody.SlotRequest.newBuilder()
        .setRequestId(request.requestId().value())
        .setUpstream(request.upstream() == null ? "" : request.upstream().value())
        .addAllAvoid(request.avoid().stream().map(UpstreamId::value).toList())
        .setFingerprint(request.fingerprint())
        .setWaitedMillis(request.waitedMillis())
        .setRemainingMillis(request.remainingMillis())
        .build();
  }

  private static SlotRequest slotRequest(
      ServiceId service, DataCentreId dataCentre, DispatchBody.SlotRequest proto) {
    return new SlotRequest(
        service,
        dataCentre,
        RequestId.of(proto.getRequestId()),
        proto.getUpstream().isEmpty() ? null : UpstreamId.of(proto.getUpstream()),
        proto.getAvoidList().stream().map(UpstreamId::of).toList(),
        proto.getFingerprint(),
        proto.getWaitedMillis(),
        proto.getRemainingMillis());
  }

  private static DispatchBody.SlotLease slotLease(SlotLease lease) {
    return DispatchBody.SlotLease.newBuilder()
        .setLeaseId(lease.leaseId())
        .setRequestId(lease.requestId().value())
        .setUpstream(lease.upstream().value())
        .setDurationMillis(lease.durationMillis())
        .setReusable(lease.reusable())
        .setTemperature(WarmUpStateMapping.toProto(lease.warmUpState()))
        .build();
  }

  private static SlotLease slotLease(
      ServiceId service, DataCentreId dataCentre, DispatchBody.SlotLease proto) {
    return new SlotLease(
        service,
        dataCentre,
        proto.getLeaseId(),
        RequestId.of(proto.getRequestId()),
        UpstreamId.of(proto.getUpstream()),
        proto.getDurationMillis(),
        proto.getReusable(),
        WarmUpStateMapping.fromProto(proto.getTemperature()));
  }

  private static DispatchBody.SlotReturn slotReturn(SlotReturn slotReturn) {
    return DispatchBody.SlotReturn.newBuilder()
        .setLeaseId(slotReturn.leaseId())
        .setUpstream(slotReturn.upstream().value())
        .setResult(SlotUseMapping.toProto(slotReturn.result()))
        .setRunMillis(slotReturn.runMillis())
        .setUpstreamIncarnation(slotReturn.upstreamIncarnation())
        .build();
  }

  private static SlotReturn slotReturn(
      ServiceId service, DataCentreId dataCentre, DispatchBody.SlotReturn proto) {
    return new SlotReturn(
        service,
        dataCentre,
        proto.getLeaseId(),
        UpstreamId.of(proto.getUpstream()),
        SlotUseMapping.fromProto(proto.getResult()),
        proto.getRunMillis(),
        proto.getUpstreamIncarnation());
  }

  private static DispatchBody.Holding holding(LeaseHeartbeat holding) {
    DispatchBody.Holding.Builder proto =
        DispatchBody.Holding.newBuilder()
            .setStampMillis(holding.sentAtMillis())
            .setEchoMillis(holding.echoMillis())
            .setBacked(holding.supportsDispatcher())
            .addAllTemperatures(WarmUpStateMapping.allToProto(holding.warmUpStates()));
    holding
        .leases()
        .forEach(
            lease ->
                proto
                    .addLeasesBuilder()
                    .setLeaseId(lease.leaseId())
                    .setUpstream(lease.upstream().value())
                    .setBusyMillis(lease.busyMillis())
                    .setBusy(lease.busy()));
    return proto.build();
  }

  private static LeaseHeartbeat holding(
      ServiceId service, DataCentreId dataCentre, DispatchBody.Holding proto) {
    return new LeaseHeartbeat(
        service,
        dataCentre,
        proto.getStampMillis(),
        proto.getEchoMillis(),
        proto.getBacked(),
        proto.getLeasesList().stream()
            .map(
                lease ->
                    new HeldLease(
                        lease.getLeaseId(),
                        UpstreamId.of(lease.getUpstream()),
                        lease.getBusyMillis(),
                        lease.getBusy()))
            .toList(),
        WarmUpStateMapping.allFromProto(proto.getTemperaturesList()));
  }
}
