package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.recovery.Evidence;
import dev.hornbeamwheel.core.recovery.Quarantine;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Collects the evidence of this host about requests that crash upstreams, and decides which
 * requests are refused by the evidence of all hosts.
 */
final class CrashGuard {
  /** Time between two searches for expired evidence, in milliseconds. */
  private static final long EXPIRE_INTERVAL_MILLIS = 1_000;

  /** Maximum number of completed requests that are remembered, for crashes reported later. */
  private static final int MAX_RECENT_COMPLETIONS = 1_000;

  private final Map<Long, Long> recentCompletions = new RecentCompletions();
  private final Quarantine quarantine;
  private final CrashDetector detector;
  private long expireDueMillis;

  CrashGuard(Catalog catalog, Quarantine quarantine) {
    this.quarantine = quarantine;
    this.detector = new CrashDetector(catalog);
  }

  /** Returns whether a request is refused now. */
  boolean refuses(long nowMillis, InFlightRequest request) {
    return quarantine.contains(request.head.fingerprint(), nowMillis);
  }

  /** Returns for how long a request is refused, in milliseconds. */
  long remainingMillis(long nowMillis, InFlightRequest request) {
    return quarantine.remainingMillis(request.head.fingerprint(), nowMillis);
  }

  /** Returns whether a request has ended an upstream, or may have done so. */
  boolean isSuspect(InFlightRequest request) {
    long fingerprint = request.head.fingerprint();
    return quarantine.isSuspect(fingerprint) || detector.isInDoubt(fingerprint);
  }

  /**
   * Returns the upstreams that must not run a request because it and one that runs there may each
   * have ended an upstream: such requests run apart from each other.
   */
  Set<UpstreamId> upstreamsClosedTo(InFlightRequest request, Collection<InFlightRequest> inFlight) {
    if (!isSuspect(request)) {
      return Set.of();
    }
    return inFlight.stream()
        .filter(other -> other.state == InFlightRequest.State.RUNNING && isSuspect(other))
        .map(other -> other.upstream.id())
        .collect(Collectors.toSet());
  }

  /** Records the end of an attempt at the upstream of a request. */
  List<RequestEffect> attemptEnded(long nowMillis, InFlightRequest request, AttemptResult result) {
    long fingerprint = request.head.fingerprint();
    if (result.completion() == Completion.BROKEN) {
      detector.connectionLost(nowMillis, request.upstream, fingerprint);
    } else if (result.completion().hasRun()) {
      recentCompletions.remove(fingerprint);
      recentCompletions.put(fingerprint, nowMillis);
    }
    if (result.completion().hasRun() && quarantine.isSuspect(fingerprint)) {
      return record(nowMillis, completed(fingerprint, 0));
    }
    return List.of();
  }

  /** Handles the result of a check whether an upstream runs. */
  List<RequestEffect> checked(long nowMillis, UpstreamIncarnation incarnation, CheckResult result) {
    return recordCrash(
        nowMillis, incarnation, detector.checked(nowMillis, incarnation, result), "refused");
  }

  /** Adds the evidence of other hosts; returns what this host knows against it. */
  List<RequestEffect> evidenceReceived(long nowMillis, List<Evidence> evidence) {
    evidence.forEach(observation -> quarantine.add(observation, nowMillis));
    return evidence.stream()
        .filter(observation -> observation.kind() == Evidence.Kind.CRASHED)
        .map(Evidence::fingerprint)
        .distinct()
        .flatMap(fingerprint -> recordEarlierCompletion(nowMillis, fingerprint).stream())
        .toList();
  }

  /** Allows a request again by the decision of an operator. */
  List<RequestEffect> lift(long nowMillis, long fingerprint) {
    return record(nowMillis, Evidence.lifted(fingerprint));
  }

  /** Starts the checks that are due, and drops expired evidence. */
  List<RequestEffect> tick(long nowMillis) {
    if (nowMillis >= expireDueMillis) {
      expireDueMillis = nowMillis + EXPIRE_INTERVAL_MILLIS;
      quarantine.expire(nowMillis);
    }
    List<RequestEffect> effects = new ArrayList<>();
    detector
        .takeSuperseded(nowMillis)
        .forEach(
            (incarnation, fingerprints) ->
                effects.addAll(recordCrash(nowMillis, incarnation, fingerprints, "started again")));
    detector
        .startDueChecks(nowMillis)
        .forEach(
            upstream ->
                effects.add(
                    new RequestEffect.CheckUpstream(upstream.incarnation(), upstream.address())));
    return effects;
  }

  private List<RequestEffect> recordCrash(
      long nowMillis,
      UpstreamIncarnation incarnation,
      Map<Long, Long> lostMillisByFingerprint,
      String evidence) {
    List<RequestEffect> effects = new ArrayList<>();
    lostMillisByFingerprint.forEach(
        (fingerprint, lostMillis) -> {
          effects.add(
              new RequestEffect.Log(
                  LogEntry.failure("upstream-crashed")
                      .with("upstream", incarnation.id().value())
                      .with("fingerprint", Long.toHexString(fingerprint))
                      .with("evidence", evidence)));
          long ageMillis = nowMillis - lostMillis;
          effects.addAll(
              record(
                  nowMillis,
                  new Evidence(fingerprint, incarnation, Evidence.Kind.CRASHED, ageMillis)));
          effects.addAll(recordEarlierCompletion(nowMillis, fingerprint));
        });
    return effects;
  }

  /** Voids crashes of a request that this host has seen completed after them. */
  private List<RequestEffect> recordEarlierCompletion(long nowMillis, long fingerprint) {
    Long completedMillis = recentCompletions.get(fingerprint);
    return completedMillis == null || !quarantine.isSuspect(fingerprint)
        ? List.of()
        : record(nowMillis, completed(fingerprint, nowMillis - completedMillis));
  }

  private static Evidence completed(long fingerprint, long ageMillis) {
    return new Evidence(fingerprint, UpstreamIncarnation.NONE, Evidence.Kind.COMPLETED, ageMillis);
  }

  private List<RequestEffect> record(long nowMillis, Evidence evidence) {
    return quarantine.add(evidence, nowMillis)
        ? List.of(new RequestEffect.ReportEvidence(evidence))
        : List.of();
  }

  /** The latest completions, the least recent one first. */
  private static final class RecentCompletions extends LinkedHashMap<Long, Long> {
    private static final long serialVersionUID = 1;

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
      return size() > MAX_RECENT_COMPLETIONS;
    }
  }
}
