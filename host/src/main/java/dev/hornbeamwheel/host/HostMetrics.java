package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.node.HostEffect;
import dev.hornbeamwheel.core.host.node.HostMessage;
import dev.hornbeamwheel.core.host.request.ErrorResponse;
import dev.hornbeamwheel.core.host.request.RequestEffect;
import dev.hornbeamwheel.core.host.request.RequestRef;
import dev.hornbeamwheel.core.host.shares.ShareStatistics;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.runtime.metrics.Metrics;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Metrics of an entry host; docs/OPERATIONS.md describes each of them. */
final class HostMetrics {
  private static final double[] LATENCY_BUCKETS_SECONDS = {0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2};
  private static final double MILLIS_PER_SECOND = 1_000;

  private final Metrics metrics;
  private final Counter requests;
  private final Counter attempts;
  private final Counter storeCalls;
  private final Counter orders;
  private final Counter choices;
  private final Counter hostMessageBytes;
  private final Counter upstreamChecks;
  private final Gauge loopDelay;
  private final Gauge sharePerSecond;
  private final Counter shareRefusals;
  private final Gauge upstreamLimits;
  private final Gauge storeEra;
  private final Histogram latency;
  private final Map<RequestRef, Long> arrivalMillis = new HashMap<>();
  private final Map<ServiceId, Long> countedShareRefusals = new HashMap<>();

  private HostMetrics(Metrics metrics) {
    this.metrics = metrics;
    this.requests =
        metrics.counter(
            "hornbeamwheel_requests_total", "Callers' requests by their final answer.", "answer");
    this.attempts = metrics.counter("hornbeamwheel_attempts_total", "Requests sent to upstreams.");
    this.storeCalls =
        metrics.counter(
            "hornbeamwheel_store_calls_total",
            "Reads and writes of the lease and of tables of keys.",
            "call");
    this.orders =
        metrics.counter("hornbeamwheel_key_orders_total", "Grants and releases of keys.", "order");
    this.choices =
        metrics.counter(
            "hornbeamwheel_choices_total",
            "Upstreams chosen for requests, and requests refused, by who decided.",
            "by",
            "choice");
    this.hostMessageBytes =
        metrics.counter(
            "hornbeamwheel_host_message_bytes_total",
            "Bytes sent to other hosts by kind of message.",
            "kind");
    this.upstreamChecks =
        metrics.counter(
            "hornbeamwheel_upstream_checks_total",
            "Connections made to learn whether an upstream runs after it lost one.");
    this.loopDelay =
        metrics.gauge(
            "hornbeamwheel_event_loop_delay_milliseconds",
            "How late the event loop was at worst in the last second.");
    this.sharePerSecond =
        metrics.gauge(
            "hornbeamwheel_share_requests_per_second",
            "Rate at which this host may send to a service without the coordinator.",
            "service");
    this.shareRefusals =
        metrics.counter(
            "hornbeamwheel_share_refusals_total",
            "Requests refused because this host's share of the service was used up.",
            "service");
    this.upstreamLimits =
        metrics.gauge(
            "hornbeamwheel_upstream_limit",
            "Learned limit of requests at once, of upstreams where it is below the slots.",
            "upstream");
    this.storeEra =
        metrics.gauge(
            "hornbeamwheel_store_era",
            "How often the platform's store was restored from a snapshot, as this host knows.");
    this.latency =
        metrics.histogram(
            "hornbeamwheel_request_duration_seconds",
            "Time from a request's arrival to its final answer.",
            LATENCY_BUCKETS_SECONDS);
  }

  static HostMetrics create() {
    return new HostMetrics(Metrics.empty());
  }

  Metrics metrics() {
    return metrics;
  }

  void arrived(long nowMillis, RequestRef request) {
    arrivalMillis.put(request, nowMillis);
  }

  /** Counts the bytes of a message sent to another host. */
  void sent(HostMessage message, int bytes) {
    hostMessageBytes.labelValues(message.kindName()).inc(bytes);
  }

  /** Records the maximum delay of the event loop in the last period, in milliseconds. */
  void loopDelay(long millis) {
    loopDelay.set((double) millis);
  }

  /** Records the use of this host's shares of services. */
  void shares(List<ShareStatistics> shares) {
    shares.forEach(
        share -> {
          String service = share.service().value();
          sharePerSecond.labelValues(service).set(share.perSecond());
          Long counted = countedShareRefusals.put(share.service(), share.refusals());
          shareRefusals
              .labelValues(service)
              .inc(share.refusals() - (counted == null ? 0 : counted));
        });
  }

  /** Records the learned limits that are lower than the slots; at most a few hundred. */
  void upstreamLimits(Map<UpstreamId, Integer> limits) {
    upstreamLimits.clear();
    limits.forEach(
        (upstream, limit) -> upstreamLimits.labelValues(upstream.value()).set((double) limit));
  }

  /** Records the era of the store. */
  void storeEra(long era) {
    storeEra.set((double) era);
  }

  /** Counts an effect that is carried out. */
  void count(long nowMillis, HostEffect effect) {
    if (effect instanceof HostEffect.Request request) {
      count(nowMillis, request.effect());
    } else if (effect instanceof HostEffect.Lease lease) {
      storeCalls.labelValues(lease.effect().getClass().getSimpleName()).inc();
    } else if (effect instanceof HostEffect.Keys keys) {
      orders.labelValues(keys.effect().getClass().getSimpleName()).inc();
    }
  }

  private void count(long nowMillis, RequestEffect effect) {
    if (effect instanceof RequestEffect.CheckUpstream) {
      upstreamChecks.inc();
    } else if (effect instanceof RequestEffect.Send send) {
      attempts.inc();
      countChoice(send.decidedByCoordinator(), "SEND");
    } else if (effect instanceof RequestEffect.ForwardResponse passOn) {
      requestEnded(nowMillis, passOn.request(), "UPSTREAM");
    } else if (effect instanceof RequestEffect.RespondWithError answer) {
      requestEnded(nowMillis, answer.request(), answer.error().name());
      if (answer.error() == ErrorResponse.NO_ROOM) {
        countChoice(answer.decidedByCoordinator(), "REFUSE");
      } else if (answer.error() == ErrorResponse.QUOTA_EXCEEDED) {
        countChoice(answer.decidedByCoordinator(), "QUOTA");
      }
    } else if (effect instanceof RequestEffect.Discard forget) {
      requestEnded(nowMillis, forget.request(), "CALLER_LEFT");
    }
  }

  private void countChoice(boolean byCoordinator, String choice) {
    choices.labelValues(byCoordinator ? "coordinator" : "host", choice).inc();
  }

  private void requestEnded(long nowMillis, RequestRef request, String answer) {
    requests.labelValues(answer).inc();
    Long arrived = arrivalMillis.remove(request);
    if (arrived != null) {
      latency.observe((nowMillis - arrived) / MILLIS_PER_SECOND);
    }
  }
}
