package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.proto.Cell;

/** Protobuf form of cell ids. */
final class CellMapping {
  private CellMapping() {}

  static Cell toProto(CellId cell) {
    return Cell.newBuilder().setService(cell.service().value()).setIndex(cell.index()).build();
  }

  static CellId fromProto(Cell cell) {
    return CellId.of(ServiceId.of(cell.getService()), cell.getIndex());
  }
}
