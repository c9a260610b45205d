package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.request.ErrorResponse;
import dev.hornbeamwheel.core.host.request.RequestEffect;
import dev.hornbeamwheel.core.host.request.RequestFlow;
import dev.hornbeamwheel.core.host.slots.SlotEffect;
import java.util.List;
import java.util.Optional;

/** Turns what concerns slots and quotas into messages to the coordinator, and back. */
final class SlotMessages {
  private static final String QUOTA_REASON = "quota of the organisation is used up";

  private SlotMessages() {}

  /** Returns the message for an effect, or empty if the effect does not concern the coordinator. */
  static Optional<HostMessage> of(RequestEffect effect) {
    if (effect instanceof RequestEffect.RequestSlot request) {
      return Optional.of(
          new HostMessage.SlotRequest(
              request.slotRequestNumber(),
              request.service(),
              request.key(),
              request.priority(),
              request.trafficClass(),
              request.remainingMillis(),
              request.targetRemainingMillis(),
              request.largeResponse(),
              request.suspect(),
              request.excludedUpstreams(),
              request.coldLeaseRequest(),
              request.shareRequest()));
    }
    if (effect instanceof RequestEffect.RequestQuotaLease quota) {
      return Optional.of(new HostMessage.RequestQuotaLease(quota.request()));
    }
    if (effect instanceof RequestEffect.CancelSlotRequest cancel) {
      return Optional.of(new HostMessage.Cancel(cancel.slotRequestNumber()));
    }
    if (effect instanceof RequestEffect.ReleaseSlot release) {
      return Optional.of(
          new HostMessage.Done(
              release.slotRequestNumber(),
              release.upstream(),
              release.completion(),
              release.runMillis(),
              release.relativeWorkPercent()));
    }
    if (effect instanceof RequestEffect.ReportHeldSlot held) {
      return Optional.of(
          new HostMessage.SlotInUse(
              held.slotRequestNumber(), held.service(), held.key(), held.upstream()));
    }
    return Optional.empty();
  }

  /** Returns the message to the host whose slot request is granted or refused. */
  static HostMessage of(SlotEffect effect) {
    long number = effect.slotRequestId().number();
    if (effect instanceof SlotEffect.Grant grant) {
      return new HostMessage.SlotGrant(number, grant.upstream(), grant.fencingToken());
    }
    SlotEffect.Refuse refusal = (SlotEffect.Refuse) effect;
    return new HostMessage.SlotRefusal(number, refusal.retryAfterMillis(), refusal.reason());
  }

  /**
   * Handles a message of the coordinator; returns empty if it concerns neither slots nor quotas.
   */
  static Optional<List<RequestEffect>> deliver(long now, HostMessage message, RequestFlow flow) {
    if (message instanceof HostMessage.SlotGrant grant) {
      return Optional.of(
          flow.slotGranted(now, grant.requestNumber(), grant.upstream(), grant.fencingToken()));
    }
    if (message instanceof HostMessage.SlotRefusal refusal) {
      return Optional.of(
          flow.slotRefused(
              now,
              refusal.requestNumber(),
              ErrorResponse.NO_ROOM,
              refusal.retryAfterMillis(),
              refusal.reason()));
    }
    if (message instanceof HostMessage.QuotaRefusal refusal) {
      return Optional.of(
          flow.slotRefused(
              now,
              refusal.requestNumber(),
              ErrorResponse.QUOTA_EXCEEDED,
              refusal.retryAfterMillis(),
              QUOTA_REASON));
    }
    if (message instanceof HostMessage.GrantQuotaLease granted) {
      flow.quotaLeaseGranted(granted.lease());
      return Optional.of(List.of());
    }
    return Optional.empty();
  }
}
