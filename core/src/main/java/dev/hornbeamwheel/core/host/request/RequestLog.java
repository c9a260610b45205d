package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.log.LogEntry;

/** The log lines of requests: what decided each of them, how old that was, and the outcome. */
final class RequestLog {
  /** Age that stands for a coordinator which was never heard, in milliseconds. */
  private static final long NEVER_HEARD_MILLIS = 1_000_000;

  private final Catalog catalog;
  private long coordinatorHeardMillis = Long.MIN_VALUE / 2;
  private long coordinatorTerm;

  RequestLog(Catalog catalog) {
    this.catalog = catalog;
  }

  void coordinatorConnected(long nowMillis) {
    coordinatorHeardMillis = nowMillis;
  }

  void coordinatorHeard(long nowMillis, long term) {
    coordinatorHeardMillis = nowMillis;
    coordinatorTerm = term;
  }

  /** Returns the line of a request that the host answered itself. */
  RequestEffect failed(
      long nowMillis, Flight flight, OwnAnswer answer, long retryAfterMillis, String reason) {
    return new RequestEffect.Log(
        describe(LogEntry.failure("request-failed"), nowMillis, flight)
            .with("answer", answer.name())
            .with("retryAfterMillis", retryAfterMillis)
            .with("reason", reason));
  }

  /** Returns the line of a request that ended as it should. */
  RequestEffect ended(long nowMillis, Flight flight, String outcome) {
    return new RequestEffect.Log(
        describe(LogEntry.of("request"), nowMillis, flight).with("outcome", outcome));
  }

  /** Returns the line of a request that got no route. */
  RequestEffect unrouted(RequestHead head, OwnAnswer answer) {
    return new RequestEffect.Log(
        LogEntry.failure("request-failed")
            .with("request", head.attemptId())
            .with("hostHeader", head.host())
            .with("path", head.path())
            .with("configuration", version())
            .with("answer", answer.name()));
  }

  /** Returns the line of one send that failed. */
  RequestEffect attemptFailed(long nowMillis, Flight flight, AttemptResult result) {
    return new RequestEffect.Log(
        describe(LogEntry.failure("attempt-failed"), nowMillis, flight)
            .with("completion", result.completion().name())
            .with("status", result.status()));
  }

  private LogEntry describe(LogEntry entry, long nowMillis, Flight flight) {
    entry
        .with("request", flight.head.attemptId())
        .with("route", flight.route.name())
        .with("service", flight.service.value())
        .with("key", flight.key().orElse(-1))
        .with("ageMillis", nowMillis - flight.arrivedMillis)
        .with("leftMillis", flight.deadlineMillis - nowMillis)
        .with("sends", flight.sends)
        .with("configuration", version())
        .with("chosenBy", flight.byCoordinator ? "coordinator" : "host")
        .with("term", coordinatorTerm)
        .with("coordinatorAgeMillis", coordinatorAge(nowMillis));
    if (flight.upstream != null) {
      entry
          .with("upstream", flight.upstream.id().value())
          .with("fence", flight.fence)
          .with("waitedMillis", flight.startedMillis - flight.arrivedMillis);
    }
    return entry;
  }

  private long version() {
    return catalog.configuration().map(FleetConfiguration::version).orElse(0L);
  }

  private long coordinatorAge(long nowMillis) {
    return Math.min(nowMillis - coordinatorHeardMillis, NEVER_HEARD_MILLIS);
  }
}
