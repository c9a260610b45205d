package dev.hornbeamwheel.core.host.organisations;

import java.util.Collection;

/**
 * How a quota is divided between the coordinator and the hosts that cannot reach it.
 *
 * <p>A host that is connected uses the coordinator's bucket and not its part, so the coordinator
 * has the parts of all connected hosts at its disposal. The bound that operators rely on is 1.1
 * times the quota of five seconds plus 20 requests; the tolerances below add up to less than that.
 */
final class QuotaParts {
  /** Part of a quota that is reserved for hosts without a lease, divided evenly among all hosts. */
  static final double RESERVED_PART = 0.2;

  /**
   * Time for which a host has its reserved part after a lease, in milliseconds. A coordinator has
   * counted the hosts that it lost for this long, and then uses the whole quota.
   */
  static final long RESERVED_MILLIS = 120_000;

  /**
   * Part of a quota that all hosts together have after that, or before any coordinator has told
   * them of the fleet. The tolerances leave room for it beside the whole quota.
   */
  static final double LASTING_PART = 0.05;

  /** Part of a quota that is leased to hosts by demand, in addition to the reserved part. */
  static final double LEASED_PART = 0.4;

  /** Part of a quota that hosts may hold back before the coordinator grants less. */
  static final double RATE_TOLERANCE = 0.04;

  /**
   * Part of the requests of a window by which arrivals may exceed the quota: callers that keep it
   * exactly are seen with delays that vary.
   */
  static final double ARRIVAL_TOLERANCE = 0.02;

  /** Requests by which arrivals may exceed the quota, in addition. */
  static final double ARRIVAL_TOLERANCE_REQUESTS = 4;

  /** Part of the requests of a window by which the starts of requests may exceed the quota. */
  static final double START_TOLERANCE = 0.03;

  /** Requests by which the starts of requests may exceed the quota, in addition. */
  static final double START_TOLERANCE_REQUESTS = 6;

  /** Number of hosts that a host assumes before a coordinator has told it. */
  static final int UNKNOWN_FLEET_SIZE = 300;

  private QuotaParts() {}

  /**
   * Returns the part of a quota that is reserved for one host.
   *
   * @param fleetSize number of hosts; zero if unknown
   */
  static double reservedPart(int fleetSize) {
    return RESERVED_PART / (fleetSize > 0 ? fleetSize : UNKNOWN_FLEET_SIZE);
  }

  /**
   * Returns the part of a quota that one host has without an end.
   *
   * @param fleetSize number of hosts; zero if unknown
   */
  static double lastingPart(int fleetSize) {
    return LASTING_PART / (fleetSize > 0 ? fleetSize : UNKNOWN_FLEET_SIZE);
  }

  /** Returns the tokens of a full bucket of arrivals. */
  static double arrivalCapacity(Quota quota) {
    return Math.max(1, quota.burst()) + arrivalTolerance(quota);
  }

  /** Returns the tokens of a full bucket of starts. */
  static double startCapacity(Quota quota) {
    return Math.max(1, quota.burst())
        + START_TOLERANCE * quota.requestsPerWindow()
        + START_TOLERANCE_REQUESTS;
  }

  /**
   * Returns the tokens at the start of a term. It is less than a burst, which an earlier
   * coordinator may have granted just before.
   */
  static double termStartTokens(Quota quota) {
    return arrivalTolerance(quota);
  }

  private static double arrivalTolerance(Quota quota) {
    return ARRIVAL_TOLERANCE * quota.requestsPerWindow() + ARRIVAL_TOLERANCE_REQUESTS;
  }

  /** Rejects parts that are not from zero to one. */
  static void requireParts(Collection<Double> parts) {
    if (parts.stream().anyMatch(part -> !(part >= 0 && part <= 1))) {
      throw new IllegalArgumentException("part of a quota is not from 0 to 1");
    }
  }
}
