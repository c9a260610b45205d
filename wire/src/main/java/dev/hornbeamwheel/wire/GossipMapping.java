package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.membership.GossipMessage;
import dev.hornbeamwheel.core.membership.GossipMessage.Announce;
import dev.hornbeamwheel.core.membership.GossipMessage.Changes;
import dev.hornbeamwheel.core.membership.GossipMessage.Digest;
import dev.hornbeamwheel.core.membership.GossipMessage.Heartbeat;
import dev.hornbeamwheel.core.membership.GossipMessage.Pull;
import dev.hornbeamwheel.core.membership.GossipMessage.Report;
import dev.hornbeamwheel.core.membership.GossipMessage.Versions;
import dev.hornbeamwheel.core.membership.ItemChange;
import dev.hornbeamwheel.core.membership.ItemVersion;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.proto.GossipBody;
import dev.hornbeamwheel.proto.ItemStamp;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Protobuf form of gossip messages. */
final class GossipMapping {
  private GossipMapping() {}

  static GossipBody toProto(GossipMessage message) {
    GossipBody.Builder body = GossipBody.newBuilder();
    if (message instanceof Heartbeat) {
      body.getHeartbeatBuilder();
    } else if (message instanceof Digest digest) {
      body.getDigestBuilder()
          .addAllBuckets(digest.buckets())
          .putAllBeacons(beacons(digest.beacons()));
    } else if (message instanceof Versions versions) {
      body.getVersionsBuilder()
          .addAllBuckets(versions.buckets())
          .addAllVersions(stamps(versions.versions()))
          .putAllBeacons(beacons(versions.beacons()));
    } else if (message instanceof Pull pull) {
      body.getPullBuilder().addAllHeld(stamps(pull.held()));
    } else if (message instanceof Changes changes) {
      body.getChangesBuilder()
          .addAllChanges(changes.changes().stream().map(GossipMapping::change).toList());
    } else if (message instanceof Announce announce) {
      body.getAnnounceBuilder().addAllVersions(stamps(announce.versions()));
    } else if (message instanceof Report report) {
      body.getReportBuilder().setItem(ItemMapping.toProto(report.item()));
    }
    return body.build();
  }

  static GossipMessage fromProto(GossipBody body) {
    return switch (body.getMessageCase()) {
      case HEARTBEAT -> new Heartbeat();
      case DIGEST ->
          new Digest(
              body.getDigest().getBucketsList(), dataCentres(body.getDigest().getBeaconsMap()));
      case VERSIONS ->
          new Versions(
              body.getVersions().getBucketsList(),
              versions(body.getVersions().getVersionsList()),
              dataCentres(body.getVersions().getBeaconsMap()));
      case PULL -> new Pull(versions(body.getPull().getHeldList()));
      case CHANGES ->
          new Changes(
              body.getChanges().getChangesList().stream().map(GossipMapping::change).toList());
      case ANNOUNCE -> new Announce(versions(body.getAnnounce().getVersionsList()));
      case REPORT -> new Report(ItemMapping.fromProto(body.getReport().getItem()));
      case MESSAGE_NOT_SET -> throw new IllegalArgumentException("empty gossip message");
    };
  }

  private static GossipBody.Change change(ItemChange change) {
    GossipBody.Change.Builder proto = GossipBody.Change.newBuilder();
    if (change instanceof ItemChange.Whole whole) {
      proto.setWhole(ItemMapping.toProto(whole.item()));
    } else if (change instanceof ItemChange.Patch patch) {
      proto
          .getPatchBuilder()
          .setBase(ItemMapping.stamp(patch.base()))
          .setTarget(ItemMapping.stamp(patch.target()))
          .setAgeMillis(patch.ageMillis())
          .setPrefix(patch.prefix())
          .setSuffix(patch.suffix())
          .setMiddle(ItemMapping.bytes(patch.middle()));
    }
    return proto.build();
  }

  private static ItemChange change(GossipBody.Change proto) {
    return switch (proto.getChangeCase()) {
      case WHOLE -> new ItemChange.Whole(ItemMapping.fromProto(proto.getWhole()));
      case PATCH -> patch(proto.getPatch());
      case CHANGE_NOT_SET -> throw new IllegalArgumentException("empty change of an item");
    };
  }

  private static ItemChange patch(GossipBody.Patch proto) {
    return new ItemChange.Patch(
        ItemMapping.version(proto.getBase()),
        ItemMapping.version(proto.getTarget()),
        proto.getAgeMillis(),
        proto.getPrefix(),
        proto.getSuffix(),
        ItemMapping.content(proto.getMiddle()));
  }

  private static List<ItemStamp> stamps(List<ItemVersion> versions) {
    return versions.stream().map(ItemMapping::stamp).toList();
  }

  private static List<ItemVersion> versions(List<ItemStamp> stamps) {
    return stamps.stream().map(ItemMapping::version).toList();
  }

  private static Map<String, Long> beacons(Map<DataCentreId, Long> beacons) {
    return beacons.entrySet().stream()
        .collect(Collectors.toMap(entry -> entry.getKey().value(), Map.Entry::getValue));
  }

  private static Map<DataCentreId, Long> dataCentres(Map<String, Long> beacons) {
    return beacons.entrySet().stream()
        .collect(Collectors.toMap(entry -> DataCentreId.of(entry.getKey()), Map.Entry::getValue));
  }
}
