package dev.hornbeamwheel.core.recovery;

import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Decides which request fingerprints are refused because they crash upstreams.
 *
 * <p>A fingerprint is in quarantine for a time once {@link #CRASHES_TO_QUARANTINE} distinct
 * upstreams ended while they ran it. Each further crash doubles that time. A completed run and an
 * operator's decision void all earlier crashes. Members that received the same evidence agree,
 * whatever its order.
 */
public final class Quarantine {
  /** Number of distinct crashed upstreams after which a fingerprint is refused. */
  public static final int CRASHES_TO_QUARANTINE = 2;

  /** Duration of the first quarantine, counted from the last crash, in milliseconds. */
  public static final long FIRST_DURATION_MILLIS = 60_000;

  /** Maximum number of times that the duration doubles. */
  private static final int MAX_DOUBLINGS = 5;

  /**
   * Time after an observation for which it counts, in milliseconds; outlasts the longest quarantine
   * so that the next crash is known to be a repeated one.
   */
  public static final long EVIDENCE_TTL_MILLIS = FIRST_DURATION_MILLIS << (MAX_DOUBLINGS + 1);

  /** Maximum number of fingerprints kept; the ones observed least recently are dropped. */
  static final int MAX_FINGERPRINTS = 2_000;

  /** Maximum number of crashes kept of one fingerprint, the latest ones. */
  private static final int MAX_CRASHES = CRASHES_TO_QUARANTINE + MAX_DOUBLINGS;

  /**
   * A fingerprint that is refused.
   *
   * @param fingerprint hash of the request
   * @param crashedUpstreams upstreams that ended while they ran it
   * @param remainingMillis time until it is accepted again, in milliseconds
   */
  public record Entry(
      long fingerprint, List<UpstreamIncarnation> crashedUpstreams, long remainingMillis) {}

  private static final class FingerprintState {
    private final Map<UpstreamIncarnation, Long> crashMillis = new HashMap<>();
    private Optional<Evidence.Kind> clearedBy = Optional.empty();
    private long clearedMillis = Long.MIN_VALUE;

    private boolean addCrash(UpstreamIncarnation upstream, long observedMillis) {
      if (observedMillis <= clearedMillis || crashMillis.containsKey(upstream)) {
        return false;
      }
      crashMillis.put(upstream, observedMillis);
      if (crashMillis.size() > MAX_CRASHES) {
        crashMillis.values().remove(firstCrashMillis());
      }
      return crashMillis.containsKey(upstream);
    }

    private boolean clear(Evidence.Kind kind, long observedMillis) {
      if (observedMillis <= clearedMillis) {
        return false;
      }
      clearedBy = Optional.of(kind);
      clearedMillis = observedMillis;
      crashMillis.values().removeIf(crash -> crash <= observedMillis);
      return true;
    }

    private long firstCrashMillis() {
      return crashMillis.values().stream().min(Comparator.naturalOrder()).orElseThrow();
    }

    private long lastCrashMillis() {
      return crashMillis.values().stream().max(Comparator.naturalOrder()).orElse(Long.MIN_VALUE);
    }

    private long lastObservedMillis() {
      return Math.max(clearedMillis, lastCrashMillis());
    }

    private long quarantineEndMillis() {
      int doublings = crashMillis.size() - CRASHES_TO_QUARANTINE;
      return doublings < 0
          ? Long.MIN_VALUE
          : lastCrashMillis() + (FIRST_DURATION_MILLIS << Math.min(doublings, MAX_DOUBLINGS));
    }
  }

  private final Map<Long, FingerprintState> statesByFingerprint = new HashMap<>();

  private Quarantine() {}

  /** Returns a quarantine without evidence. */
  public static Quarantine empty() {
    return new Quarantine();
  }

  /** Adds evidence; returns false if it changes nothing or has expired. */
  public boolean add(Evidence evidence, long nowMillis) {
    if (evidence.ageMillis() >= EVIDENCE_TTL_MILLIS) {
      return false;
    }
    FingerprintState state =
        statesByFingerprint.computeIfAbsent(
            evidence.fingerprint(), absent -> new FingerprintState());
    long observedMillis = nowMillis - evidence.ageMillis();
    boolean changed =
        evidence.kind() == Evidence.Kind.CRASHED
            ? state.addCrash(evidence.upstream(), observedMillis)
            : state.clear(evidence.kind(), observedMillis);
    if (statesByFingerprint.size() > MAX_FINGERPRINTS) {
      dropLeastRecent();
    }
    return changed;
  }

  /** Returns whether a fingerprint is in quarantine. */
  public boolean contains(long fingerprint, long nowMillis) {
    return remainingMillis(fingerprint, nowMillis) > 0;
  }

  /** Returns whether an upstream ended while it ran a fingerprint that none has completed since. */
  public boolean isSuspect(long fingerprint) {
    FingerprintState state = statesByFingerprint.get(fingerprint);
    return state != null && !state.crashMillis.isEmpty();
  }

  /** Returns the time for which a fingerprint is still refused, in milliseconds. */
  public long remainingMillis(long fingerprint, long nowMillis) {
    FingerprintState state = statesByFingerprint.get(fingerprint);
    return state == null || state.quarantineEndMillis() <= nowMillis
        ? 0
        : state.quarantineEndMillis() - nowMillis;
  }

  /** Returns the fingerprints that are refused now. */
  public List<Entry> entries(long nowMillis) {
    return statesByFingerprint.entrySet().stream()
        .filter(entry -> contains(entry.getKey(), nowMillis))
        .map(
            entry ->
                new Entry(
                    entry.getKey(),
                    List.copyOf(entry.getValue().crashMillis.keySet()),
                    remainingMillis(entry.getKey(), nowMillis)))
        .toList();
  }

  /** Removes expired evidence. */
  public void expire(long nowMillis) {
    statesByFingerprint
        .values()
        .removeIf(state -> nowMillis - state.lastObservedMillis() >= EVIDENCE_TTL_MILLIS);
  }

  /** Returns the current evidence, for members that have missed some of it. */
  public List<Evidence> evidence(long nowMillis) {
    return statesByFingerprint.entrySet().stream()
        .flatMap(entry -> evidenceOf(entry.getKey(), entry.getValue(), nowMillis))
        .toList();
  }

  private static Stream<Evidence> evidenceOf(
      long fingerprint, FingerprintState state, long nowMillis) {
    Stream<Evidence> clearing =
        state.clearedBy.stream()
            .map(
                kind ->
                    new Evidence(
                        fingerprint,
                        UpstreamIncarnation.NONE,
                        kind,
                        Math.max(0, nowMillis - state.clearedMillis)));
    Stream<Evidence> crashes =
        state.crashMillis.entrySet().stream()
            .map(
                crash ->
                    new Evidence(
                        fingerprint,
                        crash.getKey(),
                        Evidence.Kind.CRASHED,
                        Math.max(0, nowMillis - crash.getValue())));
    return Stream.concat(clearing, crashes);
  }

  private void dropLeastRecent() {
    statesByFingerprint.entrySet().stream()
        .min(Comparator.comparingLong(entry -> entry.getValue().lastObservedMillis()))
        .map(Map.Entry::getKey)
        .ifPresent(statesByFingerprint::remove);
  }
}
