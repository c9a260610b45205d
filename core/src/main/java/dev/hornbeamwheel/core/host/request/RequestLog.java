package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.model.OrganisationId;

/**
 * Creates the log entries of requests.
 *
 * <p>Each entry names the outcome, who selected the upstream, and the age of the coordinator data
 * behind that choice.
 */
final class RequestLog {
  /** Maximum logged age of the last heartbeat, in milliseconds; logged if there was none. */
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

  /** Returns the entry of a request that the host answered with an error response. */
  RequestEffect failed(
      long nowMillis,
      InFlightRequest request,
      ErrorResponse error,
      long retryAfterMillis,
      String reason) {
    return new RequestEffect.Log(
        describe(LogEntry.failure("request-failed"), nowMillis, request)
            .with("answer", error.name())
            .with("retryAfterMillis", retryAfterMillis)
            .with("reason", reason));
  }

  /** Returns the entry of a request that ended without an error response of the host. */
  RequestEffect ended(long nowMillis, InFlightRequest request, String outcome) {
    return new RequestEffect.Log(
        describe(LogEntry.of("request"), nowMillis, request).with("outcome", outcome));
  }

  /** Returns the entry of a request that was rejected on arrival. */
  RequestEffect unrouted(RequestHead head, ErrorResponse error) {
    return new RequestEffect.Log(
        LogEntry.failure("request-failed")
            .with("request", head.attemptId())
            .with("hostHeader", head.host())
            .with("path", head.path())
            .with("configuration", configurationVersion())
            .with("answer", error.name()));
  }

  /** Returns the entry of a response in which an upstream said something of itself. */
  RequestEffect noticeReceived(InFlightRequest request, UpstreamNotice notice) {
    return new RequestEffect.Log(
        LogEntry.of("upstream-notice")
            .with("upstream", request.upstream.id().value())
            .with("request", request.head.attemptId())
            .with("leaving", notice.leaving() ? 1 : 0)
            .with("retryAfterMillis", notice.retryAfterMillis())
            .with("ignored", notice.ignored()));
  }

  /**
   * Returns the entry of a request that is sent to a cold upstream. Each such request is logged, as
   * their number is limited over all hosts.
   *
   * @param leasedPartitions number of partitions of cold upstreams that this host holds a lease for
   */
  RequestEffect sentCold(long nowMillis, InFlightRequest request, int leasedPartitions) {
    return new RequestEffect.Log(
        LogEntry.of("cold-send")
            .with("request", request.head.attemptId())
            .with("service", request.service.value())
            .with("key", request.key().orElse(-1))
            .with("upstream", request.upstream.id().value())
            .with("started", request.upstream.incarnation().startedUnixMillis())
            .with("coldMillis", request.upstream.coldUntilMillis() - nowMillis)
            .with("chosenBy", chosenBy(request))
            .with("term", coordinatorTerm)
            .with("coordinatorAgeMillis", coordinatorAgeMillis(nowMillis))
            .with("slotAgeMillis", nowMillis - request.slotRequestedMillis)
            .with("leasedPartitions", leasedPartitions));
  }

  /** Returns the entry of a request that has waited long for a slot of the coordinator it names. */
  RequestEffect waits(long nowMillis, InFlightRequest request) {
    return new RequestEffect.Log(
        describe(LogEntry.of("request-waits"), nowMillis, request)
            .with("slotRequest", request.slotRequestNumber)
            .with("slotAgeMillis", nowMillis - request.slotRequestedMillis));
  }

  /** Returns the entry of a failed attempt at an upstream. */
  RequestEffect attemptFailed(long nowMillis, InFlightRequest request, AttemptResult result) {
    return new RequestEffect.Log(
        describe(LogEntry.failure("attempt-failed"), nowMillis, request)
            .with("completion", result.completion().name())
            .with("status", result.status()));
  }

  private LogEntry describe(LogEntry entry, long nowMillis, InFlightRequest request) {
    entry
        .with("request", request.head.attemptId())
        .with("fingerprint", Long.toHexString(request.head.fingerprint()))
        .with("route", request.route.name())
        .with("service", request.service.value())
        .with("key", request.key().orElse(-1))
        .with("ageMillis", nowMillis - request.arrivedMillis)
        .with("leftMillis", request.deadlineMillis - nowMillis)
        .with("sends", request.sendCount)
        .with("configuration", configurationVersion())
        .with("chosenBy", chosenBy(request))
        .with("term", coordinatorTerm)
        .with("coordinatorAgeMillis", coordinatorAgeMillis(nowMillis));
    request
        .organisation()
        .map(OrganisationId::value)
        .ifPresent(id -> entry.with("organisation", id));
    if (request.upstream != null) {
      entry
          .with("upstream", request.upstream.id().value())
          .with("fence", request.fencingToken)
          .with("waitedMillis", request.sentMillis - request.arrivedMillis);
    }
    return entry;
  }

  private static String chosenBy(InFlightRequest request) {
    return request.decidedByCoordinator ? "coordinator" : "host";
  }

  private long configurationVersion() {
    return catalog.configuration().map(FleetConfiguration::version).orElse(0L);
  }

  private long coordinatorAgeMillis(long nowMillis) {
    return Math.min(nowMillis - lastHeartbeatMillis, MAX_COORDINATOR_AGE_MILLIS);
  }
}
