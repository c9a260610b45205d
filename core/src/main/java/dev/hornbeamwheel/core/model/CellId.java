package dev.hornbeamwheel.core.model;

/**
 * Identifies a cell, a contiguous range of shards of one service that one leader controls.
 *
 * @param service the service
 * @param index index from zero to the cell count of the service, exclusive
 */
public record CellId(ServiceId service, int index) implements Comparable<CellId> {
  /** Rejects a negative index. */
  public CellId {
    if (index < 0) {
      throw new IllegalArgumentException("cell index must not be negative: " + index);
    }
  }

  /** Returns the cell of a service with the given index. */
  public static CellId of(ServiceId service, int index) {
    return new CellId(service, index);
  }

  /** Returns the name of the table row that holds the assignments of this cell. */
  public String rowName() {
    return "cell/" + service + "/" + index;
  }

  @Override
  public int compareTo(CellId other) {
    int byService = service.compareTo(other.service);
    return byService != 0 ? byService : Integer.compare(index, other.index);
  }

  @Override
  public String toString() {
    return service + "/" + index;
  }
}
