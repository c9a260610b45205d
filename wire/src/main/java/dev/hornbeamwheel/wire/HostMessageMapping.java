package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.lease.HostCapacity;
import dev.hornbeamwheel.core.host.node.HostMessage;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.core.model.OrganisationId;
import dev.hornbeamwheel.core.model.RouteId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.TrafficClass;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.proto.host.AskBody;
import dev.hornbeamwheel.proto.host.CancelBody;
import dev.hornbeamwheel.proto.host.DoneBody;
import dev.hornbeamwheel.proto.host.GiveBody;
import dev.hornbeamwheel.proto.host.HeartbeatBody;
import dev.hornbeamwheel.proto.host.HelloBody;
import dev.hornbeamwheel.proto.host.HoldBody;
import dev.hornbeamwheel.proto.host.HostFrame;
import dev.hornbeamwheel.proto.host.KeyMapBody;
import dev.hornbeamwheel.proto.host.OwnedRange;
import dev.hornbeamwheel.proto.host.QuotaRefusalBody;
import dev.hornbeamwheel.proto.host.RefuseBody;
import dev.hornbeamwheel.proto.host.UpstreamsLeavingBody;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;

/** Turns the messages between hosts into frames and back. */
final class HostMessageMapping {
  private HostMessageMapping() {}

  static HostFrame toProto(HostMessage message) {
    HostFrame.Builder frame = HostFrame.newBuilder();
    if (message instanceof HostMessage.SlotRequest ask) {
      frame.setAsk(ask(ask));
    } else if (message instanceof HostMessage.SlotGrant give) {
      frame.setGive(
          GiveBody.newBuilder()
              .setAsk(give.requestNumber())
              .setUpstream(give.upstream().value())
              .setFence(give.fencingToken()));
    } else if (message instanceof HostMessage.Done done) {
      frame.setDone(
          DoneBody.newBuilder()
              .setAsk(done.requestNumber())
              .setUpstream(done.upstream().value())
              .setOutcome(done.completion().code())
              .setRunMillis(toInt(done.durationMillis()))
              .setWorkPercent(done.workPercent()));
    } else if (message instanceof HostMessage.SlotRefusal refuse) {
      frame.setRefuse(
          RefuseBody.newBuilder()
              .setAsk(refuse.requestNumber())
              .setRetryAfterMillis(toInt(refuse.retryAfterMillis()))
              .setReason(refuse.reason()));
    } else if (message instanceof HostMessage.Heartbeat beat) {
      frame.setHeartbeat(heartbeat(beat));
    } else if (message instanceof HostMessage.Cancel cancel) {
      frame.setCancel(CancelBody.newBuilder().setAsk(cancel.requestNumber()));
    } else {
      setRare(frame, message);
    }
    return frame.build();
  }

  private static void setRare(HostFrame.Builder frame, HostMessage message) {
    if (message instanceof HostMessage.SlotInUse hold) {
      frame.setHold(
          HoldBody.newBuilder()
              .setAsk(hold.requestNumber())
              .setService(hold.service().value())
              .setKeyPlusOne(keyPlusOne(hold.key()))
              .setUpstream(hold.upstream().value()));
    } else if (message instanceof HostMessage.Hello hello) {
      frame.setHello(
          HelloBody.newBuilder()
              .setHost(hello.host().value())
              .setDataCentre(hello.dataCentre().value())
              .setCapacity(hello.capacity().millicores()));
    } else if (message instanceof HostMessage.KeyMap map) {
      frame.setKeyMap(keyMap(map.service(), map.ownersByFirstKey()));
    } else if (message instanceof HostMessage.KeyMapChange change) {
      frame.setKeyMap(
          keyMap(change.service(), change.changedOwnersByFirstKey())
              .setChanges(true)
              .addAllJoined(change.mergedFirstKeys()));
    } else if (message instanceof HostMessage.CatalogChange change) {
      frame.setCatalogChange(CatalogChangeMapping.toProto(change.changes()));
    } else if (message instanceof HostMessage.CrashEvidence evidence) {
      frame.setCrashEvidence(CrashEvidenceMapping.toProto(evidence));
    } else if (message instanceof HostMessage.QuotaRefusal refusal) {
      frame.setQuotaRefusal(
          QuotaRefusalBody.newBuilder()
              .setAsk(refusal.requestNumber())
              .setRetryAfterMillis(toInt(refusal.retryAfterMillis())));
    } else if (message instanceof HostMessage.RequestQuotaLease asked) {
      frame.setQuotaLeaseRequest(QuotaLeaseMapping.toProto(asked.request()));
    } else if (message instanceof HostMessage.GrantQuotaLease granted) {
      frame.setQuotaLease(QuotaLeaseMapping.toProto(granted.lease()));
    } else if (message instanceof HostMessage.UpstreamLimits limits) {
      frame.setUpstreamLimits(UpstreamLimitsMapping.toProto(limits));
    } else if (message instanceof HostMessage.UpstreamsLeaving leaving) {
      frame.setUpstreamsLeaving(leaving(leaving));
    }
  }

  /** Returns whether a frame holds a message; false for a kind that a later build has added. */
  static boolean known(HostFrame frame) {
    return frame.getBodyCase() != HostFrame.BodyCase.BODY_NOT_SET;
  }

  /**
   * Returns the message of a frame.
   *
   * @throws MalformedMessageException if the frame holds no message that is known here
   */
  static HostMessage fromProto(HostFrame frame) throws MalformedMessageException {
    try {
      return switch (frame.getBodyCase()) {
        case ASK -> ask(frame.getAsk());
        case GIVE ->
            new HostMessage.SlotGrant(
                frame.getGive().getAsk(),
                UpstreamId.of(frame.getGive().getUpstream()),
                frame.getGive().getFence());
        case DONE -> done(frame.getDone());
        case REFUSE ->
            new HostMessage.SlotRefusal(
                frame.getRefuse().getAsk(),
                frame.getRefuse().getRetryAfterMillis(),
                frame.getRefuse().getReason());
        case HEARTBEAT -> heartbeat(frame.getHeartbeat());
        case CANCEL -> new HostMessage.Cancel(frame.getCancel().getAsk());
        case HOLD ->
            new HostMessage.SlotInUse(
                frame.getHold().getAsk(),
                ServiceId.of(frame.getHold().getService()),
                key(frame.getHold().getKeyPlusOne()),
                UpstreamId.of(frame.getHold().getUpstream()));
        case HELLO ->
            new HostMessage.Hello(
                HostId.of(frame.getHello().getHost()),
                DataCentreId.of(frame.getHello().getDataCentre()),
                new HostCapacity(frame.getHello().getCapacity()));
        case KEY_MAP -> keyMap(frame.getKeyMap());
        case CATALOG_CHANGE ->
            new HostMessage.CatalogChange(CatalogChangeMapping.fromProto(frame.getCatalogChange()));
        case CRASH_EVIDENCE -> CrashEvidenceMapping.fromProto(frame.getCrashEvidence());
        case UPSTREAMS_LEAVING -> leaving(frame.getUpstreamsLeaving());
        case QUOTA_REFUSAL ->
            new HostMessage.QuotaRefusal(
                frame.getQuotaRefusal().getAsk(), frame.getQuotaRefusal().getRetryAfterMillis());
        case QUOTA_LEASE_REQUEST ->
            new HostMessage.RequestQuotaLease(
                QuotaLeaseMapping.fromProto(frame.getQuotaLeaseRequest()));
        case QUOTA_LEASE ->
            new HostMessage.GrantQuotaLease(QuotaLeaseMapping.fromProto(frame.getQuotaLease()));
        case UPSTREAM_LIMITS -> UpstreamLimitsMapping.fromProto(frame.getUpstreamLimits());
        case BODY_NOT_SET -> throw new IllegalArgumentException("a frame without a message");
      };
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException("not a message between hosts: " + e.getMessage(), e);
    }
  }

  private static UpstreamsLeavingBody leaving(HostMessage.UpstreamsLeaving message) {
    UpstreamsLeavingBody.Builder body = UpstreamsLeavingBody.newBuilder();
    message
        .upstreams()
        .forEach(
            upstream ->
                body.addUpstreamsBuilder()
                    .setUpstream(upstream.id().value())
                    .setStartedUnixMillis(upstream.startedUnixMillis()));
    return body.build();
  }

  private static HostMessage leaving(UpstreamsLeavingBody body) {
    return new HostMessage.UpstreamsLeaving(
        body.getUpstreamsList().stream()
            .map(
                upstream ->
                    new UpstreamIncarnation(
                        UpstreamId.of(upstream.getUpstream()), upstream.getStartedUnixMillis()))
            .toList());
  }

  private static HeartbeatBody heartbeat(HostMessage.Heartbeat beat) {
    HeartbeatBody.Builder body =
        HeartbeatBody.newBuilder()
            .setTerm(beat.term())
            .setLeased(beat.leaseHeld())
            .setHosts(beat.connectedHosts())
            .setBestCapacity(beat.bestCapacity().millicores())
            .setHandingOver(beat.handingOver())
            .addAllConfirmations(
                beat.confirmations().stream().map(CatalogChangeMapping::confirmation).toList());
    beat.coldLease().map(ColdLeaseMapping::toProto).ifPresent(body::setColdLease);
    beat.shareLease().map(ShareLeaseMapping::toProto).ifPresent(body::setShareLease);
    return body.build();
  }

  private static HostMessage.Heartbeat heartbeat(HeartbeatBody body) {
    return new HostMessage.Heartbeat(
        body.getTerm(),
        body.getLeased(),
        body.getHosts(),
        new HostCapacity(body.getBestCapacity()),
        body.getHandingOver(),
        body.getConfirmationsList().stream().map(CatalogChangeMapping::confirmation).toList(),
        body.hasColdLease()
            ? Optional.of(ColdLeaseMapping.fromProto(body.getColdLease()))
            : Optional.empty(),
        body.hasShareLease()
            ? Optional.of(ShareLeaseMapping.fromProto(body.getShareLease()))
            : Optional.empty());
  }

  private static AskBody ask(HostMessage.SlotRequest ask) {
    AskBody.Builder body = AskBody.newBuilder();
    ask.trafficClass().organisation().map(OrganisationId::value).ifPresent(body::setOrganisation);
    ask.coldLeaseRequest().map(ColdLeaseMapping::toProto).ifPresent(body::setColdLeaseRequest);
    ask.shareRequest().map(ShareLeaseMapping::toProto).ifPresent(body::setShareRequest);
    return body.setAsk(ask.requestNumber())
        .setService(ask.service().value())
        .setKeyPlusOne(keyPlusOne(ask.key()))
        .setPriority(ask.priority())
        .setRoute(ask.trafficClass().route().value())
        .setDeadlineMillis(toInt(ask.deadlineMillis()))
        .setTargetMillis(toInt(ask.targetMillis()))
        .setLarge(ask.largeResponse())
        .setSuspect(ask.suspect())
        .addAllAvoid(ask.excludedUpstreams().stream().map(UpstreamId::value).toList())
        .build();
  }

  private static HostMessage.SlotRequest ask(AskBody body) {
    return new HostMessage.SlotRequest(
        body.getAsk(),
        ServiceId.of(body.getService()),
        key(body.getKeyPlusOne()),
        body.getPriority(),
        trafficClass(body),
        body.getDeadlineMillis(),
        body.getTargetMillis(),
        body.getLarge(),
        body.getSuspect(),
        body.getAvoidList().stream().map(UpstreamId::of).collect(Collectors.toSet()),
        body.hasColdLeaseRequest()
            ? Optional.of(ColdLeaseMapping.fromProto(body.getColdLeaseRequest()))
            : Optional.empty(),
        body.hasShareRequest()
            ? Optional.of(ShareLeaseMapping.fromProto(body.getShareRequest()))
            : Optional.empty());
  }

  private static TrafficClass trafficClass(AskBody body) {
    RouteId route = RouteId.of(body.getRoute());
    return body.getOrganisation().isBlank()
        ? TrafficClass.of(route)
        : new TrafficClass(route, Optional.of(OrganisationId.of(body.getOrganisation())));
  }

  private static HostMessage.Done done(DoneBody body) {
    return new HostMessage.Done(
        body.getAsk(),
        UpstreamId.of(body.getUpstream()),
        Completion.ofCode(body.getOutcome()),
        body.getRunMillis(),
        body.getWorkPercent());
  }

  private static KeyMapBody.Builder keyMap(ServiceId service, Map<Integer, UpstreamId> byFirstKey) {
    KeyMapBody.Builder body = KeyMapBody.newBuilder().setService(service.value());
    byFirstKey.forEach(
        (first, upstream) ->
            body.addRanges(OwnedRange.newBuilder().setFirst(first).setUpstream(upstream.value())));
    return body;
  }

  private static HostMessage keyMap(KeyMapBody body) {
    Map<Integer, UpstreamId> byFirstKey =
        body.getRangesList().stream()
            .collect(
                Collectors.toMap(
                    OwnedRange::getFirst,
                    range -> UpstreamId.of(range.getUpstream()),
                    (first, second) -> second));
    ServiceId service = ServiceId.of(body.getService());
    return body.getChanges()
        ? new HostMessage.KeyMapChange(service, byFirstKey, Set.copyOf(body.getJoinedList()))
        : new HostMessage.KeyMap(service, byFirstKey);
  }

  private static int keyPlusOne(OptionalInt key) {
    return key.isPresent() ? key.getAsInt() + 1 : 0;
  }

  private static OptionalInt key(int keyPlusOne) {
    return keyPlusOne > 0 ? OptionalInt.of(keyPlusOne - 1) : OptionalInt.empty();
  }

  private static int toInt(long value) {
    return (int) Math.max(0, Math.min(Integer.MAX_VALUE, value));
  }
}
