package dev.hornbeamwheel.core.config;

import dev.hornbeamwheel.core.model.ServiceId;

/**
 * A declared service.
 *
 * @param id the service
 * @param kind whether keys are owned by single upstreams
 * @param shards number of shards, a power of two; one for a pooled service
 * @param cells number of cells, at most {@code shards}
 * @param fencing whether upstreams check who orders them
 * @param isolation what a data centre does when it is cut off from the others
 * @param coldStart what a freshly started upstream bears
 * @param defaultDeadlineMillis deadline of a request that names none
 */
public record Service(
    ServiceId id,
    ServiceKind kind,
    int shards,
    int cells,
    Fencing fencing,
    Isolation isolation,
    ColdStart coldStart,
    long defaultDeadlineMillis) {

  /** Returns whether each key of this service has one owner. */
  public boolean keyed() {
    return kind == ServiceKind.KEYED;
  }

  /** Returns the cell index of a shard index. */
  public int cellOf(int shard) {
    return (int) ((long) shard * cells / shards);
  }
}
