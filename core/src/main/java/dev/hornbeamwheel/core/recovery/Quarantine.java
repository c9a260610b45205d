package dev.hornbeamwheel.core.recovery;

import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells which request fingerprints are refused because they crash upstreams.
 *
 * <p>A fingerprint is in quarantine after {@link #CRASHES_TO_QUARANTINE} distinct upstreams were
 * lost while they ran it and none has completed it. The evidence is a set whose elements expire, so
 * members that have received the same elements in any order agree.
 */
public final class Quarantine {
  /** Distinct upstreams lost before a fingerprint is refused. */
  public static final int CRASHES_TO_QUARANTINE = 2;

  /** Time after its observation for which evidence counts. */
  public static final long EVIDENCE_MILLIS = 60_000;

  /** Fingerprints remembered at once; the evidence of further ones is dropped. */
  private static final int MAX_FINGERPRINTS = 10_000;

  private static final class Case {
    private final Set<UpstreamId> crashed = new HashSet<>();
    private boolean completed;
    private long lastMillis = Long.MIN_VALUE;
  }

  private final Map<Long, Case> cases = new HashMap<>();

  private Quarantine() {}

  /** Returns a quarantine without evidence. */
  public static Quarantine empty() {
    return new Quarantine();
  }

  /** Adds evidence and returns whether it was new. */
  public boolean add(Evidence evidence, long nowMillis) {
    long observedAt = nowMillis - evidence.ageMillis();
    boolean old = evidence.ageMillis() >= EVIDENCE_MILLIS;
    if (old || (cases.size() >= MAX_FINGERPRINTS && !cases.containsKey(evidence.fingerprint()))) {
      return false;
    }
    Case found = cases.computeIfAbsent(evidence.fingerprint(), absent -> new Case());
    found.lastMillis = Math.max(found.lastMillis, observedAt);
    if (evidence.kind() == Evidence.Kind.COMPLETED) {
      boolean added = !found.completed;
      found.completed = true;
      return added;
    }
    return found.crashed.add(evidence.upstream());
  }

  /** Returns whether a fingerprint is refused. */
  public boolean contains(long fingerprint) {
    Case found = cases.get(fingerprint);
    return found != null && !found.completed && found.crashed.size() >= CRASHES_TO_QUARANTINE;
  }

  /** Returns whether an upstream was lost while it ran a fingerprint that nothing clears. */
  public boolean suspects(long fingerprint) {
    if (cases.isEmpty()) {
      return false;
    }
    Case found = cases.get(fingerprint);
    return found != null && !found.completed;
  }

  /** Returns the time until a fingerprint is accepted again; zero if it is accepted now. */
  public long remainingMillis(long fingerprint, long nowMillis) {
    Case found = cases.get(fingerprint);
    return found == null ? 0 : Math.max(0, found.lastMillis + EVIDENCE_MILLIS - nowMillis);
  }

  /** Drops evidence that has expired. */
  public void expire(long nowMillis) {
    cases.values().removeIf(found -> nowMillis - found.lastMillis >= EVIDENCE_MILLIS);
  }

  /** Returns all evidence that counts at a time, for members that have missed it. */
  public List<Evidence> evidence(long nowMillis) {
    return cases.entrySet().stream()
        .flatMap(e -> evidenceOf(e.getKey(), e.getValue(), nowMillis).stream())
        .toList();
  }

  private static List<Evidence> evidenceOf(long fingerprint, Case found, long nowMillis) {
    long age = Math.max(0, nowMillis - found.lastMillis);
    Evidence.Kind kind = found.completed ? Evidence.Kind.COMPLETED : Evidence.Kind.CRASHED;
    return found.crashed.stream().map(u -> new Evidence(fingerprint, u, kind, age)).toList();
  }
}
