package dev.hornbeamwheel.core.host.cold;

import dev.hornbeamwheel.core.model.UpstreamId;

/**
 * Divides the upstreams of a data centre into parts, for each of which a few hosts hold a lease.
 *
 * <p>The division needs no list of upstreams, so that it covers those that register while there is
 * no coordinator.
 */
public final class ColdPartitions {
  /** Number of partitions of a data centre; a few for each host that it may have. */
  public static final int COUNT = 128;

  private static final int MIX_MULTIPLIER = 0x9E3779B1;
  private static final int MIX_SHIFT = 15;

  private ColdPartitions() {}

  /** Returns the partition of an upstream, from zero to {@link #COUNT} exclusive. */
  public static int of(UpstreamId upstream) {
    int hash = upstream.value().hashCode() * MIX_MULTIPLIER;
    return Math.floorMod(hash ^ (hash >>> MIX_SHIFT), COUNT);
  }

  /** Returns whether there is a partition of that number. */
  static boolean exists(int partition) {
    return partition >= 0 && partition < COUNT;
  }
}
