package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.model.Epoch;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.ownership.Assignment;
import dev.hornbeamwheel.core.ownership.Assignments;
import dev.hornbeamwheel.proto.AssignmentColumns;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Protobuf form of assignments, as columns so that a slice takes few bytes. */
final class AssignmentsMapping {
  private AssignmentsMapping() {}

  static AssignmentColumns toProto(Assignments assignments) {
    AssignmentColumns.Builder columns = AssignmentColumns.newBuilder();
    Map<UpstreamId, Integer> index = new HashMap<>();
    assignments
        .upstreams()
        .forEach(
            upstream -> {
              index.put(upstream, index.size());
              columns.addUpstreams(upstream.value());
            });
    List<Assignment> rows = assignments.stream().toList();
    boolean isolated = rows.stream().anyMatch(row -> row.slice().isolated());
    boolean moving = assignments.anyMoving();
    int shard = 0;
    for (Assignment row : rows) {
      columns.addShardDeltas(row.slice().shard() - shard);
      shard = row.slice().shard();
      columns.addOwners(index.get(row.owner()));
      columns.addEpochs(row.epoch().value());
      if (isolated) {
        columns.addKeyHashes(row.slice().keyHash());
      }
      if (moving) {
        columns.addPrevious(row.previousOwner().map(previous -> index.get(previous) + 1).orElse(0));
      }
    }
    return columns.build();
  }

  static Assignments fromProto(AssignmentColumns columns) {
    List<UpstreamId> upstreams = columns.getUpstreamsList().stream().map(UpstreamId::of).toList();
    List<Assignment> rows = new ArrayList<>(columns.getShardDeltasCount());
    int shard = 0;
    for (int i = 0; i < columns.getShardDeltasCount(); i++) {
      shard += columns.getShardDeltas(i);
      long keyHash = columns.getKeyHashesCount() == 0 ? 0 : columns.getKeyHashes(i);
      int previous = columns.getPreviousCount() == 0 ? 0 : columns.getPrevious(i);
      rows.add(
          new Assignment(
              new Slice(shard, keyHash),
              upstreams.get(columns.getOwners(i)),
              Epoch.of(columns.getEpochs(i)),
              previous == 0 ? Optional.empty() : Optional.of(upstreams.get(previous - 1))));
    }
    return Assignments.of(rows);
  }
}
