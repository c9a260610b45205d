package dev.hornbeamwheel.core.recovery;

import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which request fingerprints are refused because they crash upstreams.
 *
 * <p>A fingerprint is in quarantine once {@link #CRASHES_TO_QUARANTINE} distinct upstreams failed
 * while they ran it and none has completed it. The evidence is a set whose elements expire, so
 * members that received the same elements agree, whatever the order.
 */
public final class Quarantine {
  /** Number of distinct failed upstreams after which a fingerprint is refused. */
  public static final int CRASHES_TO_QUARANTINE = 2;

  /** Time after an observation for which it counts, in milliseconds. */
  public static final long EVIDENCE_TTL_MILLIS = 60_000;

  /** Maximum number of fingerprints kept; evidence about further ones is dropped. */
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

  /** Adds evidence; returns false if it was known, has expired or exceeds the limit. */
  public boolean add(Evidence evidence, long nowMillis) {
    long observedAt = nowMillis - evidence.ageMillis();
    boolean expired = evidence.ageMillis() >= EVIDENCE_TTL_MILLIS;
    if (expired
        || (statesByFingerprint.size() >= MAX_FINGERPRINTS
            && !statesByFingerprint.containsKey(evidence.fingerprint()))) {
      return false;
    }
    FingerprintState state =
        statesByFingerprint.computeIfAbsent(
            evidence.fingerprint(), absent -> new FingerprintState());
    state.lastObservedMillis = Math.max(state.lastObservedMillis, observedAt);
    if (evidence.kind() == Evidence.Kind.COMPLETED) {
      boolean added = !state.completed;
      state.completed = true;
      return added;
    }
    return state.crashedUpstreams.add(evidence.upstream());
  }

  /** Returns whether a fingerprint is in quarantine. */
  public boolean contains(long fingerprint) {
    FingerprintState state = statesByFingerprint.get(fingerprint);
    return state != null
        && !state.completed
        && state.crashedUpstreams.size() >= CRASHES_TO_QUARANTINE;
  }

  /** Returns whether an upstream failed while it ran a fingerprint that none has completed. */
  public boolean isSuspect(long fingerprint) {
    if (statesByFingerprint.isEmpty()) {
      return false;
    }
    FingerprintState state = statesByFingerprint.get(fingerprint);
    return state != null && !state.completed;
  }

  /**
   * Returns the time until the evidence about a fingerprint expires, in milliseconds; zero if there
   * is none.
   */
  public long remainingMillis(long fingerprint, long nowMillis) {
    FingerprintState state = statesByFingerprint.get(fingerprint);
    return state == null
        ? 0
        : Math.max(0, state.lastObservedMillis + EVIDENCE_TTL_MILLIS - nowMillis);
  }

  /** Removes expired evidence. */
  public void expire(long nowMillis) {
    statesByFingerprint
        .values()
        .removeIf(state -> nowMillis - state.lastObservedMillis >= EVIDENCE_TTL_MILLIS);
  }

  /** Returns the current evidence, for members that have missed some of it. */
  public List<Evidence> evidence(long nowMillis) {
    return statesByFingerprint.entrySet().stream()
        .flatMap(e -> evidenceOf(e.getKey(), e.getValue(), nowMillis).stream())
        .toList();
  }

  private static List<Evidence> evidenceOf(
      long fingerprint, FingerprintState state, long nowMillis) {
    long age = Math.max(0, nowMillis - state.lastObservedMillis);
    Evidence.Kind kind = state.completed ? Evidence.Kind.COMPLETED : Evidence.Kind.CRASHED;
    return state.crashedUpstreams.stream()
        .map(u -> new Evidence(fingerprint, u, kind, age))
        .toList();
  }
}
