package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.model.IdempotencyKey;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Records what upstreams ran and which results callers received; the oracles check only this. */
final class ExecutionHistory {
  /** Number of body bytes of a complete response. */
  static final long RESPONSE_BYTES = 100;

  record Run(
      RequestId request,
      IdempotencyKey key,
      long fingerprint,
      UpstreamId upstream,
      long atMillis) {}

  record CallerResult(RoutingEffect.EndRequest effect, long deliveredBytes, long atMillis) {}

  /** One cold start of an upstream and the time of its first completed request. */
  static final class Start {
    final long atMillis;
    long firstCompletionMillis = Long.MAX_VALUE;

    Start(long atMillis) {
      this.atMillis = atMillis;
    }
  }

  final List<Run> runs = new ArrayList<>();
  final Map<RequestId, CallerResult> results = new HashMap<>();
  final Set<RequestId> nonIdempotent = new HashSet<>();
  final Map<UpstreamId, List<Start>> starts = new HashMap<>();
  final Map<UpstreamId, Long> drainedAt = new HashMap<>();
  final Map<Long, Set<UpstreamId>> crashedBy = new HashMap<>();
  private final Map<Long, Long> twoCrashesKnownAt = new HashMap<>();
  final List<String> cutByStop = new ArrayList<>();
  final List<String> violations = new ArrayList<>();

  void recordResult(RoutingEffect.EndRequest ended, long deliveredBytes, long nowMillis) {
    if (results.put(ended.requestId(), new CallerResult(ended, deliveredBytes, nowMillis))
        != null) {
      violations.add("answered twice: " + ended.requestId());
    }
  }

  List<String> wrongNotRunOutcomes() {
    return runs.stream()
        .filter(run -> results.containsKey(run.request))
        .filter(run -> results.get(run.request).effect.outcome() == Outcome.NOT_RUN)
        .map(run -> "told not run, but ran: " + run + " " + results.get(run.request))
        .toList();
  }

  List<String> ranTwice() {
    Map<Object, Integer> count = new HashMap<>();
    runs.stream()
        .filter(run -> nonIdempotent.contains(run.request))
        .forEach(run -> count.merge(run.key == null ? run.request : run.key, 1, Integer::sum));
    return count.entrySet().stream()
        .filter(e -> e.getValue() > 1)
        .map(e -> "ran " + e.getValue() + " times: " + e.getKey())
        .toList();
  }

  List<String> incompleteResponses() {
    return results.values().stream()
        .filter(t -> t.effect.problem() == ProblemKind.NONE && t.deliveredBytes != RESPONSE_BYTES)
        .map(t -> "not the whole answer: " + t)
        .toList();
  }

  List<String> overloadedColdUpstreams(ColdStart upstreamColdStart, int slots) {
    List<String> found = new ArrayList<>();
    starts.forEach(
        (upstream, times) -> {
          for (int i = 0; i < times.size(); i++) {
            long end = i + 1 < times.size() ? times.get(i + 1).atMillis : Long.MAX_VALUE;
            checkRampUp(upstream, times.get(i), end, upstreamColdStart, slots, found);
          }
        });
    return found;
  }

  /**
   * Checks the cold-start ramp of one upstream start.
   *
   * <p>In each second from a run on, allows the rate at the end of that second, plus one run per
   * slot and one more.
   */
  private void checkRampUp(
      UpstreamId upstream,
      Start start,
      long end,
      ColdStart upstreamColdStart,
      int slots,
      List<String> found) {
    long[] at =
        runs.stream()
            .filter(r -> r.upstream.equals(upstream))
            .mapToLong(Run::atMillis)
            .filter(t -> t >= start.atMillis && t < end)
            .toArray();
    for (int first = 0, last = 0; first < at.length; first++) {
      while (last < at.length && at[last] < at[first] + 1_000) {
        last++;
      }
      double limit = rate(start, upstreamColdStart, at[first] + 1_000) + slots + 1;
      if (last - first > limit) {
        found.add(upstream + " ran " + (last - first) + " > " + limit + " from " + at[first]);
        return;
      }
    }
  }

  private static double rate(Start start, ColdStart upstreamColdStart, long atMillis) {
    if (atMillis <= start.firstCompletionMillis) {
      return upstreamColdStart.initialRatePerSecond();
    }
    double warmth =
        (double) (atMillis - start.firstCompletionMillis) / upstreamColdStart.warmUpMillis();
    double span = upstreamColdStart.fullRatePerSecond() - upstreamColdStart.initialRatePerSecond();
    return warmth >= 1
        ? Double.MAX_VALUE
        : upstreamColdStart.initialRatePerSecond() + span * warmth;
  }

  List<String> workAfterDrain(long graceMillis) {
    return runs.stream()
        .filter(run -> drainedAt.containsKey(run.upstream))
        .filter(run -> run.atMillis > drainedAt.get(run.upstream) + graceMillis)
        .map(run -> "new work after drain: " + run)
        .toList();
  }

  /** Records a crash whose router survived long enough to report it. */
  void recordKnownCrash(long fingerprint, UpstreamId upstream, long nowMillis) {
    Set<UpstreamId> known = crashedBy.computeIfAbsent(fingerprint, f -> new HashSet<>());
    known.add(upstream);
    if (known.size() == 2) {
      twoCrashesKnownAt.putIfAbsent(fingerprint, nowMillis);
    }
  }

  /** Returns runs of a request after evidence of two crashes had enough time to spread. */
  List<String> ranAfterTwoCrashes(long spreadMillis) {
    return runs.stream()
        .filter(run -> twoCrashesKnownAt.containsKey(run.fingerprint))
        .filter(run -> run.atMillis > twoCrashesKnownAt.get(run.fingerprint) + spreadMillis)
        .map(run -> "ran after two crashes: " + run)
        .toList();
  }
}
