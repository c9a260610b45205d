package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.log.LogEntry;

/** The log lines of requests: what decided each of them, how old that was, and the outcome. */
final class RequestLog {
  /** Age that stands for a coordinator which was never heard, in milliseconds. */
  private static final long MAX_COORDINATOR_AGE_MILLIS = 1_000_000;

  private final Catalog catalog;
  private long lastHeartbeatMillis = Long.MIN_VALUE / 2;
  private long coordinatorTerm;

  RequestLog(Catalog catalog) {
    this.catalog = catalog;
  }

  void coordinatorConnected(long nowMillis) {
    lastHeartbeatMillis = nowMillis;
  }

  void heartbeatReceived(long nowMillis, long term) {
    lastHeartbeatMillis = nowMillis;
    coordinatorTerm = term;
  }

  /** Returns the line of a request that the host answered itself. */
  RequestEffect failed(
      long nowMillis,
      InFlightRequest flight,
      ErrorResponse answer,
      long retryAfterMillis,
      String reason) {
    return new RequestEffect.Log(
        describe(LogEntry.failure("request-failed"), nowMillis, flight)
            .with("answer", answer.name())
            .with("retryAfterMillis", retryAfterMillis)
            .with("reason", reason));
  }

  /** Returns the line of a request that ended as it should. */
  RequestEffect ended(long nowMillis, InFlightRequest flight, String outcome) {
    return new RequestEffect.Log(
        describe(LogEntry.of("request"), nowMillis, flight).with("outcome", outcome));
  }

  /** Returns the line of a request that got no route. */
  RequestEffect unrouted(RequestHead head, ErrorResponse answer) {
    return new RequestEffect.Log(
        LogEntry.failure("request-failed")
            .with("request", head.attemptId())
            .with("hostHeader", head.host())
            .with("path", head.path())
            .with("configuration", configurationVersion())
            .with("answer", answer.name()));
  }

  /** Returns the line of one send that failed. */
  RequestEffect attemptFailed(long nowMillis, InFlightRequest flight, AttemptResult result) {
    return new RequestEffect.Log(
        describe(LogEntry.failure("attempt-failed"), nowMillis, flight)
            .with("completion", result.completion().name())
            .with("status", result.status()));
  }

  private LogEntry describe(LogEntry entry, long nowMillis, InFlightRequest flight) {
    entry
        .with("request", flight.head.attemptId())
        .with("route", flight.route.name())
        .with("service", flight.service.value())
        .with("key", flight.key().orElse(-1))
        .with("ageMillis", nowMillis - flight.arrivedMillis)
        .with("leftMillis", flight.deadlineMillis - nowMillis)
        .with("sends", flight.sendCount)
        .with("configuration", configurationVersion())
        .with("chosenBy", flight.decidedByCoordinator ? "coordinator" : "host")
        .with("term", coordinatorTerm)
        .with("coordinatorAgeMillis", coordinatorAgeMillis(nowMillis));
    if (flight.upstream != null) {
      entry
          .with("upstream", flight.upstream.id().value())
          .with("fence", flight.fencingToken)
          .with("waitedMillis", flight.sentMillis - flight.arrivedMillis);
    }
    return entry;
  }

  private long configurationVersion() {
    return catalog.configuration().map(FleetConfiguration::version).orElse(0L);
  }

  private long coordinatorAgeMillis(long nowMillis) {
    return Math.min(nowMillis - lastHeartbeatMillis, MAX_COORDINATOR_AGE_MILLIS);
  }
}
