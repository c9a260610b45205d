package dev.hornbeamwheel.core.host.organisations;

import dev.hornbeamwheel.core.model.HostId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The hosts of the fleet as the coordinator of a term knows them. */
final class FleetMembers {
  /** Time without a message after which a host may decide without the coordinator. */
  static final long LIVE_MILLIS = 1_500;

  /**
   * Time after which a silent host no longer counts as part of the fleet, in milliseconds. An
   * earlier coordinator without the lease stops to use more than the parts of its hosts before.
   */
  static final long MEMORY_MILLIS = 30_000;

  /**
   * Time for which the reserved part of a silent host is counted, in milliseconds; longer than the
   * host uses it, to allow for clocks of different speed.
   */
  static final long RESERVED_MEMORY_MILLIS = QuotaParts.RESERVED_MILLIS + 5_000;

  /**
   * Time from the start of a term after which the hosts that were heard are the fleet, if neither
   * the lease row nor a host names its size, in milliseconds.
   */
  static final long LEARN_MILLIS = QuotaLeases.EXPIRY_MILLIS;

  /** A host that became silent, and since when. */
  record Silenced(HostId host, long sinceMillis) {}

  private final Map<HostId, Long> heardMillis = new HashMap<>();
  private final Map<HostId, Long> departedMillis = new HashMap<>();
  private final Set<HostId> live = new HashSet<>();
  private final long termStartMillis;
  private int earlierSize;
  private boolean earlierCounts = true;
  private boolean earlierReserved = true;

  FleetMembers(long termStartMillis) {
    this.termStartMillis = termStartMillis;
  }

  /** Records a message of a host. */
  void heard(long nowMillis, HostId host) {
    heardMillis.put(host, nowMillis);
    departedMillis.remove(host);
    live.add(host);
  }

  /**
   * Records the size of the fleet that a host learnt. It counts at the start of the term only:
   * later on, hosts repeat what this coordinator has told them, so that the size would never fall.
   */
  void sizeReported(int size) {
    if (earlierCounts) {
      earlierSize = Math.max(earlierSize, size);
    }
  }

  /**
   * Returns the hosts that became silent since the last call.
   *
   * @param leaseHeld whether hosts may be forgotten, as no other coordinator can hold the lease
   */
  List<Silenced> refresh(long nowMillis, boolean leaseHeld) {
    List<Silenced> silenced = new ArrayList<>();
    heardMillis.forEach(
        (host, heard) -> {
          if (nowMillis - heard >= LIVE_MILLIS && live.remove(host)) {
            silenced.add(new Silenced(host, heard));
          }
        });
    if (leaseHeld) {
      forget(nowMillis);
    }
    return silenced;
  }

  private void forget(long nowMillis) {
    heardMillis.forEach(
        (host, heard) -> {
          if (nowMillis - heard >= MEMORY_MILLIS) {
            departedMillis.put(host, heard);
          }
        });
    heardMillis.keySet().removeAll(departedMillis.keySet());
    departedMillis.values().removeIf(heard -> nowMillis - heard >= RESERVED_MEMORY_MILLIS);
    earlierCounts &= nowMillis - termStartMillis < MEMORY_MILLIS;
    earlierReserved &= nowMillis - termStartMillis < RESERVED_MEMORY_MILLIS;
  }

  /** Records that the connection to a host ended. */
  List<Silenced> disconnected(HostId host) {
    return live.remove(host) ? List.of(new Silenced(host, heardMillis.get(host))) : List.of();
  }

  boolean isLive(HostId host) {
    return live.contains(host);
  }

  int liveCount() {
    return live.size();
  }

  /** Returns the number of hosts of the fleet, at least one. */
  int size() {
    return Math.max(1, Math.max(earlierCounts ? earlierSize : 0, heardMillis.size()));
  }

  /** Returns the number of hosts that may use a reserved part, at least those of the fleet. */
  int reservedSize() {
    return Math.max(
        size(),
        Math.max(earlierReserved ? earlierSize : 0, heardMillis.size() + departedMillis.size()));
  }

  /** Returns whether the size is known; otherwise hosts may exist that were not heard yet. */
  boolean sizeKnown(long nowMillis) {
    return earlierSize > 0 || nowMillis - termStartMillis >= LEARN_MILLIS;
  }

  /** Returns whether more than half of the fleet uses this coordinator. */
  boolean hasMajority() {
    return 2 * live.size() > size();
  }

  /** Returns whether the whole fleet uses this coordinator, by the word of an earlier one. */
  boolean complete() {
    return earlierSize > 0 && live.size() >= reservedSize();
  }
}
