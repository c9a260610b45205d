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
  public static final long EVIDENCE_TTL_MILLIS = 60_000;

  /** Fingerprints remembered at once; the evidence of further ones is dropped. */
  private static final int MAX_FINGERPRINTS = 10_000;

  private static final class FingerprintState {
    private final Set<UpstreamId> crashedUpstreams = new HashSet<>();
    private boolean completed;
    private long lastObservedMillis = Long.MIN_VALUE;
  }

  private final Map<Long, FingerprintState> statesByFingerprint = new HashMap<>();

  private Quarantine() {}

  /** Returns a quarantine without evidence. */
  public static Quarantine empty() {
    return new Quarantine();
  }

  /** Adds evidence and returns whether it was new. */
  public boolean add(Evidence evidence, long nowMillis) {
    long observedAt = nowMillis - evidence.ageMillis();
    boolean old = evidence.ageMillis() >= EVIDENCE_TTL_MILLIS;
    if (old
        || (statesByFingerprint.size() >= MAX_FINGERPRINTS
            && !statesByFingerprint.containsKey(evidence.fingerprint()))) {
      return false;
    }
    FingerprintState found =
        statesByFingerprint.computeIfAbsent(
            evidence.fingerprint(), absent -> new FingerprintState());
    found.lastObservedMillis = Math.max(found.lastObservedMillis, observedAt);
    if (evidence.kind() == Evidence.Kind.COMPLETED) {
      boolean added = !found.completed;
      found.completed = true;
      return added;
    }
    return found.crashedUpstreams.add(evidence.upstream());
  }

  /** Returns whether a fingerprint is refused. */
  public boolean contains(long fingerprint) {
    FingerprintState found = statesByFingerprint.get(fingerprint);
    return found != null
        && !found.completed
        && found.crashedUpstreams.size() >= CRASHES_TO_QUARANTINE;
  }

  /** Returns whether an upstream was lost while it ran a fingerprint that nothing clears. */
  public boolean isSuspect(long fingerprint) {
    if (statesByFingerprint.isEmpty()) {
      return false;
    }
    FingerprintState found = statesByFingerprint.get(fingerprint);
    return found != null && !found.completed;
  }

  /** Returns the time until a fingerprint is accepted again; zero if it is accepted now. */
  public long remainingMillis(long fingerprint, long nowMillis) {
    FingerprintState found = statesByFingerprint.get(fingerprint);
    return found == null
        ? 0
        : Math.max(0, found.lastObservedMillis + EVIDENCE_TTL_MILLIS - nowMillis);
  }

  /** Drops evidence that has expired. */
  public void expire(long nowMillis) {
    statesByFingerprint
        .values()
        .removeIf(found -> nowMillis - found.lastObservedMillis >= EVIDENCE_TTL_MILLIS);
  }

  /** Returns all evidence that counts at a time, for members that have missed it. */
  public List<Evidence> evidence(long nowMillis) {
    return statesByFingerprint.entrySet().stream()
        .flatMap(e -> evidenceOf(e.getKey(), e.getValue(), nowMillis).stream())
        .toList();
  }

  private static List<Evidence> evidenceOf(
      long fingerprint, FingerprintState found, long nowMillis) {
    long age = Math.max(0, nowMillis - found.lastObservedMillis);
    Evidence.Kind kind = found.completed ? Evidence.Kind.COMPLETED : Evidence.Kind.CRASHED;
    return found.crashedUpstreams.stream()
        .map(u -> new Evidence(fingerprint, u, kind, age))
        .toList();
  }
}
