package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.host.cold.ColdLease;
import dev.hornbeamwheel.core.host.cold.ColdLeaseRequest;
import dev.hornbeamwheel.proto.host.ColdLeaseBody;
import dev.hornbeamwheel.proto.host.ColdLeaseRequestBody;
import java.util.Set;

/** Turns leases on cold upstreams and requests for them into parts of frames and back. */
final class ColdLeaseMapping {
  private ColdLeaseMapping() {}

  static ColdLeaseBody toProto(ColdLease lease) {
    return ColdLeaseBody.newBuilder()
        .setAsk(lease.slotRequestNumber())
        .addAllPartitions(lease.partitions())
        .build();
  }

  static ColdLeaseRequestBody toProto(ColdLeaseRequest request) {
    return ColdLeaseRequestBody.newBuilder().addAllHeldPartitions(request.heldPartitions()).build();
  }

  static ColdLease fromProto(ColdLeaseBody body) {
    return new ColdLease(body.getAsk(), Set.copyOf(body.getPartitionsList()));
  }

  static ColdLeaseRequest fromProto(ColdLeaseRequestBody body) {
    return new ColdLeaseRequest(Set.copyOf(body.getHeldPartitionsList()));
  }
}
