package dev.hornbeamwheel.bench.capacity;

import dev.hornbeamwheel.core.membership.GossipMessage;
import dev.hornbeamwheel.core.membership.ItemChange;
import dev.hornbeamwheel.core.membership.ItemVersion;
import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.List;
import java.util.Map;

/** Estimates bytes on the wire: fields as protobuf encodes them, a frame and its TCP segment. */
final class MessageSize {
  /** Sender, incarnation, tags and length of an envelope. */
  private static final int ENVELOPE_BYTES = 40;

  /** TCP and IP headers of one segment. */
  private static final int SEGMENT_BYTES = 52;

  private static final int FIELDS_BYTES = 12;
  private static final int PATCH_BYTES = 24;

  private MessageSize() {}

  static int of(GossipMessage message) {
    return SEGMENT_BYTES + ENVELOPE_BYTES + body(message);
  }

  private static int body(GossipMessage message) {
    if (message instanceof GossipMessage.Digest digest) {
      return digest.buckets().size() * Long.BYTES + beacons(digest.beacons());
    }
    if (message instanceof GossipMessage.Versions versions) {
      return versions.buckets().size() * 2
          + versions(versions.versions())
          + beacons(versions.beacons());
    }
    if (message instanceof GossipMessage.Pull pull) {
      return versions(pull.held());
    }
    if (message instanceof GossipMessage.Announce announce) {
      return versions(announce.versions());
    }
    if (message instanceof GossipMessage.Changes changes) {
      return changes.changes().stream().mapToInt(MessageSize::change).sum();
    }
    if (message instanceof GossipMessage.Report report) {
      return change(new ItemChange.Whole(report.item()));
    }
    return 0;
  }

  private static int change(ItemChange change) {
    int fields = change.key().name().length() + FIELDS_BYTES;
    return change instanceof ItemChange.Whole whole
        ? fields + whole.item().content().size()
        : fields + PATCH_BYTES + ((ItemChange.Patch) change).middle().size();
  }

  private static int versions(List<ItemVersion> versions) {
    return versions.stream()
        .mapToInt(version -> version.key().name().length() + FIELDS_BYTES)
        .sum();
  }

  private static int beacons(Map<DataCentreId, Long> beacons) {
    return beacons.keySet().stream().mapToInt(id -> id.value().length() + 8).sum();
  }
}
