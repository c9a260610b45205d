package dev.hornbeamwheel.core.membership;

import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Counters that show which data centres can still be heard, directly or through others.
 *
 * <p>Each data centre raises its own counter; digests carry the greatest ones seen.
 */
final class Beacons {
  private final DataCentreId own;
  private final Map<DataCentreId, Long> counters = new HashMap<>();
  private final Map<DataCentreId, Long> raisedMillis = new HashMap<>();
  private Set<DataCentreId> unreachable = Set.of();

  Beacons(DataCentreId own) {
    this.own = own;
  }

  Map<DataCentreId, Long> counters() {
    return counters;
  }

  /** Starts to listen for a data centre that has just become known. */
  void expect(DataCentreId dataCentre, long nowMillis) {
    raisedMillis.putIfAbsent(dataCentre, nowMillis);
  }

  void merge(Map<DataCentreId, Long> others, long nowMillis) {
    others.forEach(
        (dataCentre, counter) -> {
          if (counter > counters.getOrDefault(dataCentre, 0L)) {
            counters.put(dataCentre, counter);
            raisedMillis.put(dataCentre, nowMillis);
          }
        });
  }

  /** Returns whether this process knows of a greater counter than {@code others}. */
  boolean exceed(Map<DataCentreId, Long> others) {
    return counters.entrySet().stream()
        .anyMatch(entry -> entry.getValue() > others.getOrDefault(entry.getKey(), 0L));
  }

  /** Raises the own counter if it is due; the first member raises it before the others do. */
  void raiseOwn(boolean first, long nowMillis) {
    long dueMillis =
        raisedMillis.getOrDefault(own, Long.MIN_VALUE / 2)
            + (first ? GossipTiming.BEACON_MILLIS : GossipTiming.BEACON_TAKEOVER_MILLIS);
    if (nowMillis >= dueMillis) {
      counters.merge(own, 1L, Long::sum);
      raisedMillis.put(own, nowMillis);
    }
  }

  /** Restarts all waiting, because this process was paused and could not hear. */
  void restartWaiting(long nowMillis) {
    raisedMillis.replaceAll((dataCentre, millis) -> nowMillis);
  }

  /** Returns whether the set of unreachable data centres has changed. */
  boolean update(long nowMillis) {
    Set<DataCentreId> silent = new HashSet<>();
    raisedMillis.forEach(
        (dataCentre, millis) -> {
          if (!dataCentre.equals(own)
              && nowMillis - millis >= GossipTiming.UNREACHABLE_AFTER_MILLIS) {
            silent.add(dataCentre);
          }
        });
    boolean changed = !silent.equals(unreachable);
    unreachable = silent;
    return changed;
  }

  Set<DataCentreId> unreachable() {
    return unreachable;
  }
}
