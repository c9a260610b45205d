package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds out which requests of this host an upstream was running when its process ended.
 *
 * <p>A lost connection alone proves nothing: answers are cut off and connections reset while the
 * upstream lives. So after such a loss the host tries to connect. The upstream has ended if nothing
 * listens at its address, or if a later start was registered there; it lives if it accepts.
 */
final class CrashDetector {
  /**
   * Delay of the first check, in milliseconds; the sockets of a process that ends are closed one
   * after the other.
   */
  static final long FIRST_CHECK_DELAY_MILLIS = 30;

  /** Time between checks without a response, in milliseconds. */
  static final long CHECK_INTERVAL_MILLIS = 300;

  /** Time after a loss at which it is given up without a verdict, in milliseconds. */
  static final long MAX_DOUBT_MILLIS = 5_000;

  /** Maximum number of upstreams that are checked at a time; further losses are not examined. */
  static final int MAX_CASES = 200;

  /** The losses at one upstream that have no verdict yet. */
  private static final class Case {
    private final UpstreamRegistration upstream;

    /** Times of the losses by the fingerprint of the request, in milliseconds. */
    private final Map<Long, Long> lostMillis = new HashMap<>();

    private long checkDueMillis;
    private long checkStartMillis;
    private boolean checking;

    private Case(UpstreamRegistration upstream) {
      this.upstream = upstream;
    }
  }

  private final Catalog catalog;
  private final Map<UpstreamIncarnation, Case> cases = new HashMap<>();

  CrashDetector(Catalog catalog) {
    this.catalog = catalog;
  }

  /** Records that the connection of a request was lost before its response. */
  void connectionLost(long nowMillis, UpstreamRegistration upstream, long fingerprint) {
    UpstreamIncarnation incarnation = upstream.incarnation();
    if (cases.size() >= MAX_CASES && !cases.containsKey(incarnation)) {
      return;
    }
    Case lost = cases.computeIfAbsent(incarnation, absent -> new Case(upstream));
    if (lost.lostMillis.isEmpty()) {
      lost.checkDueMillis = nowMillis + FIRST_CHECK_DELAY_MILLIS;
    }
    lost.lostMillis.put(fingerprint, nowMillis);
  }

  /** Returns whether a request may have ended an upstream, as there is no verdict yet. */
  boolean isInDoubt(long fingerprint) {
    return !cases.isEmpty()
        && cases.values().stream().anyMatch(lost -> lost.lostMillis.containsKey(fingerprint));
  }

  /** Starts the checks that are due; returns the upstreams to connect to. */
  List<UpstreamRegistration> startDueChecks(long nowMillis) {
    List<UpstreamRegistration> due = new ArrayList<>();
    for (Case lost : cases.values()) {
      if (!lost.checking && nowMillis >= lost.checkDueMillis) {
        lost.checking = true;
        lost.checkStartMillis = nowMillis;
        due.add(lost.upstream);
      }
    }
    return due;
  }

  /**
   * Handles the result of a check.
   *
   * @return the requests that the upstream was running when it ended: the times of their losses, in
   *     milliseconds, by fingerprint
   */
  Map<Long, Long> checked(long nowMillis, UpstreamIncarnation incarnation, CheckResult result) {
    Case lost = cases.get(incarnation);
    if (lost == null) {
      return Map.of();
    }
    lost.checking = false;
    lost.checkDueMillis = nowMillis + CHECK_INTERVAL_MILLIS;
    if (result == CheckResult.REFUSED) {
      return close(lost);
    }
    if (result == CheckResult.ACCEPTED) {
      lost.lostMillis.values().removeIf(lossMillis -> lossMillis < lost.checkStartMillis);
      if (lost.lostMillis.isEmpty()) {
        cases.remove(incarnation);
      }
    }
    return Map.of();
  }

  /**
   * Gives up cases without a verdict in time, and returns those of upstreams that have started
   * again, by upstream, with the times of their losses by fingerprint.
   */
  Map<UpstreamIncarnation, Map<Long, Long>> takeSuperseded(long nowMillis) {
    if (cases.isEmpty()) {
      return Map.of();
    }
    Map<UpstreamIncarnation, Map<Long, Long>> ended = new HashMap<>();
    for (Case lost : List.copyOf(cases.values())) {
      UpstreamIncarnation incarnation = lost.upstream.incarnation();
      if (catalog.superseded(incarnation, lost.upstream.address())) {
        ended.put(incarnation, close(lost));
        continue;
      }
      lost.lostMillis.values().removeIf(lossMillis -> nowMillis - lossMillis > MAX_DOUBT_MILLIS);
      if (lost.lostMillis.isEmpty()) {
        cases.remove(incarnation);
      }
    }
    return ended;
  }

  private Map<Long, Long> close(Case lost) {
    cases.remove(lost.upstream.incarnation());
    return Map.copyOf(lost.lostMillis);
  }
}
