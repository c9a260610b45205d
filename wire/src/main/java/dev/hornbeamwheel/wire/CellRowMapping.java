package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.core.ownership.Predecessor;
import dev.hornbeamwheel.core.ownership.Voter;
import dev.hornbeamwheel.proto.CellRowState;
import dev.hornbeamwheel.proto.MemberStart;
import dev.hornbeamwheel.proto.PredecessorState;
import java.util.List;

/** Protobuf form of cell rows. */
final class CellRowMapping {
  private CellRowMapping() {}

  static CellRowState toProto(CellRow row) {
    return CellRowState.newBuilder()
        .setCell(CellMapping.toProto(row.cell()))
        .setVersion(row.version())
        .setNumber(row.termNumber())
        .setHome(row.home().value())
        .addAllVoters(starts(row.voters()))
        .addAllWitnesses(starts(row.witnesses()))
        .addAllUnsealed(row.unsealed().stream().map(CellRowMapping::predecessor).toList())
        .setAssignments(AssignmentsMapping.toProto(row.assignments()))
        .setOperationId(row.operationId())
        .build();
  }

  static CellRow fromProto(CellRowState row) {
    return new CellRow(
        CellMapping.fromProto(row.getCell()),
        row.getVersion(),
        row.getNumber(),
        DataCentreId.of(row.getHome()),
        voters(row.getVotersList()),
        voters(row.getWitnessesList()),
        row.getUnsealedList().stream().map(CellRowMapping::predecessor).toList(),
        AssignmentsMapping.fromProto(row.getAssignments()),
        row.getOperationId());
  }

  private static PredecessorState predecessor(Predecessor predecessor) {
    return PredecessorState.newBuilder()
        .setNumber(predecessor.termNumber())
        .setHome(predecessor.home().value())
        .addAllVoters(starts(predecessor.voters()))
        .addAllWitnesses(starts(predecessor.witnesses()))
        .build();
  }

  private static Predecessor predecessor(PredecessorState predecessor) {
    return new Predecessor(
        predecessor.getNumber(),
        DataCentreId.of(predecessor.getHome()),
        voters(predecessor.getVotersList()),
        voters(predecessor.getWitnessesList()));
  }

  private static List<MemberStart> starts(List<Voter> voters) {
    return voters.stream()
        .map(
            voter ->
                MemberStart.newBuilder()
                    .setMember(voter.member().value())
                    .setIncarnation(voter.incarnation().value())
                    .build())
        .toList();
  }

  private static List<Voter> voters(List<MemberStart> starts) {
    return starts.stream()
        .map(
            start ->
                new Voter(MemberId.of(start.getMember()), Incarnation.of(start.getIncarnation())))
        .toList();
  }
}
