package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.host.shares.ServiceDemand;
import dev.hornbeamwheel.core.host.shares.ServiceShare;
import dev.hornbeamwheel.core.host.shares.ShareLease;
import dev.hornbeamwheel.core.host.shares.ShareRequest;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.proto.host.ServiceDemandBody;
import dev.hornbeamwheel.proto.host.ServiceShareBody;
import dev.hornbeamwheel.proto.host.ShareLeaseBody;
import dev.hornbeamwheel.proto.host.ShareRequestBody;

/** Turns leased shares of services and requests for them into parts of frames and back. */
final class ShareLeaseMapping {
  private ShareLeaseMapping() {}

  static ShareLeaseBody toProto(ShareLease lease) {
    ShareLeaseBody.Builder body =
        ShareLeaseBody.newBuilder()
            .setAsk(lease.slotRequestNumber())
            .setFleetSize(lease.fleetSize());
    lease
        .shares()
        .forEach(
            share ->
                body.addShares(
                    ServiceShareBody.newBuilder()
                        .setService(share.service().value())
                        .setPerSecond(share.perSecond())
                        .setMinimumPerSecond(share.minimumPerSecond())));
    return body.build();
  }

  static ShareRequestBody toProto(ShareRequest request) {
    ShareRequestBody.Builder body =
        ShareRequestBody.newBuilder()
            .setHeldLease(request.heldLease())
            .setFleetSize(request.fleetSize());
    request
        .demands()
        .forEach(
            demand ->
                body.addDemands(
                    ServiceDemandBody.newBuilder()
                        .setService(demand.service().value())
                        .setPerSecond(demand.perSecond())
                        .setHeldPerSecond(demand.heldPerSecond())
                        .setMinimumPerSecond(demand.minimumPerSecond())));
    return body.build();
  }

  static ShareLease fromProto(ShareLeaseBody body) {
    return new ShareLease(
        body.getAsk(),
        body.getFleetSize(),
        body.getSharesList().stream()
            .map(
                share ->
                    new ServiceShare(
                        ServiceId.of(share.getService()),
                        share.getPerSecond(),
                        share.getMinimumPerSecond()))
            .toList());
  }

  static ShareRequest fromProto(ShareRequestBody body) {
    return new ShareRequest(
        body.getHeldLease(),
        body.getFleetSize(),
        body.getDemandsList().stream()
            .map(
                demand ->
                    new ServiceDemand(
                        ServiceId.of(demand.getService()),
                        demand.getPerSecond(),
                        demand.getHeldPerSecond(),
                        demand.getMinimumPerSecond()))
            .toList());
  }
}
