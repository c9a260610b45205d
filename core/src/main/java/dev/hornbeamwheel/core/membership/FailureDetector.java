package dev.hornbeamwheel.core.membership;

import dev.hornbeamwheel.core.model.MemberId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Notices missed heartbeats of the few members that this process watches. */
final class FailureDetector {
  private final Map<MemberId, Long> heardMillis = new HashMap<>();
  private final Map<MemberId, Suspicion> suspicions = new HashMap<>();
  private long anyHeardMillis = Long.MIN_VALUE / 2;

  void heard(MemberId member, long nowMillis) {
    heardMillis.computeIfPresent(member, (id, old) -> nowMillis);
    anyHeardMillis = nowMillis;
  }

  /** Makes the next check suspect a member whose connection was refused. */
  void refused(MemberId member) {
    heardMillis.computeIfPresent(member, (id, old) -> Long.MIN_VALUE / 2);
  }

  /** Forgets all silence, because this process was paused and could not hear. */
  void restartWaiting(long nowMillis) {
    heardMillis.replaceAll((member, millis) -> nowMillis);
    suspicions.replaceAll((member, suspicion) -> new Suspicion(suspicion.version, nowMillis));
  }

  /** Returns the members that have been silent for too long. */
  List<MemberId> silent(List<MemberId> watched, long nowMillis) {
    heardMillis.keySet().retainAll(watched);
    watched.forEach(member -> heardMillis.putIfAbsent(member, nowMillis));
    boolean isolated = nowMillis - anyHeardMillis >= GossipTiming.SUSPECT_AFTER_MILLIS;
    long limitMillis =
        isolated ? GossipTiming.ISOLATED_SUSPECT_AFTER_MILLIS : GossipTiming.SUSPECT_AFTER_MILLIS;
    return watched.stream()
        .filter(member -> nowMillis - heardMillis.get(member) >= limitMillis)
        .toList();
  }

  /** Starts to wait for the refutation of a suspicion. */
  void suspected(MemberId member, long version, long nowMillis) {
    suspicions.put(member, new Suspicion(version, nowMillis));
  }

  void cleared(MemberId member) {
    suspicions.remove(member);
  }

  /** Returns the members that have not refuted their suspicion in time. */
  List<MemberId> unrefuted(long nowMillis) {
    if (suspicions.isEmpty()) {
      return List.of();
    }
    return suspicions.entrySet().stream()
        .filter(entry -> nowMillis - entry.getValue().sinceMillis >= GossipTiming.SUSPICION_MILLIS)
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  private record Suspicion(long version, long sinceMillis) {}
}
