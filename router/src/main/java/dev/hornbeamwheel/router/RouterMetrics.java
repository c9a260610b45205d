package dev.hornbeamwheel.router;

import dev.hornbeamwheel.core.routing.Outcome;
import dev.hornbeamwheel.core.routing.ProblemKind;
import dev.hornbeamwheel.runtime.metrics.Metrics;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import java.util.Locale;

/** Metrics of the router; docs/OPERATIONS.md says what each means. */
final class RouterMetrics {
  private final Counter answers;
  private final Counter attempts;
  private final Counter limitRefusals;
  private final Gauge configurationVersion;

  private RouterMetrics(Metrics metrics) {
    answers =
        metrics.counter("hornbeamwheel_answers_total", "Requests answered", "outcome", "problem");
    attempts = metrics.counter("hornbeamwheel_attempts_total", "Attempts at upstreams");
    limitRefusals =
        metrics.counter(
            "hornbeamwheel_limit_refusals_total", "Requests refused by their contract's limit");
    configurationVersion =
        metrics.gauge("hornbeamwheel_configuration_version", "Version in force in this process");
  }

  static RouterMetrics in(Metrics metrics) {
    return new RouterMetrics(metrics);
  }

  void answered(Outcome outcome, ProblemKind problem) {
    answers.labelValues(outcome.name().toLowerCase(Locale.ROOT), problem.slug()).inc();
  }

  void attempted() {
    attempts.inc();
  }

  void refusedByLimit() {
    limitRefusals.inc();
  }

  void configurationInForce(long version) {
    configurationVersion.set((double) version);
  }
}
