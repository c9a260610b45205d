package dev.hornbeamwheel.runtime.metrics;

import dev.hornbeamwheel.runtime.logging.NonBlockingAppender;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;

/**
 * The metrics registry of one process; each name starts with {@code hornbeamwheel_}.
 *
 * <p>Names may be given once each.
 */
public final class Metrics {
  private static final String PREFIX = "hornbeamwheel_";

  private final PrometheusRegistry registry;

  private Metrics(PrometheusRegistry registry) {
    this.registry = registry;
  }

  /** Returns an empty registry, for tests. */
  public static Metrics empty() {
    return new Metrics(new PrometheusRegistry());
  }

  /** Returns a registry with the metrics of the JVM and of the log. */
  public static Metrics ofProcess() {
    Metrics metrics = empty();
    JvmMetrics.builder().register(metrics.registry);
    metrics.counter(
        "hornbeamwheel_log_lines_dropped_total",
        "Log lines that the full queue of the log could not take.",
        NonBlockingAppender::dropped);
    return metrics;
  }

  /** Returns the registry, for the page that exposes it. */
  public PrometheusRegistry registry() {
    return registry;
  }

  /** Registers a counter; {@code name} ends in {@code _total}. */
  public Counter counter(String name, String help, String... labels) {
    return Counter.builder().name(checked(name)).help(help).labelNames(labels).register(registry);
  }

  /** Registers a counter that is read when the page is asked for. */
  public void counter(String name, String help, DoubleSupplier value) {
    CounterWithCallback.builder()
        .name(checked(name))
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Registers a gauge. */
  public Gauge gauge(String name, String help, String... labels) {
    return Gauge.builder().name(checked(name)).help(help).labelNames(labels).register(registry);
  }

  /** Registers a gauge that is read when the page is asked for. */
  public void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(checked(name))
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  private static String checked(String name) {
    if (!name.startsWith(PREFIX)) {
      throw new IllegalArgumentException("a metric's name starts with " + PREFIX + ": " + name);
    }
    return name;
  }

  /** Registers a histogram with the given upper bounds of its buckets, in the unit of its name. */
  public Histogram histogram(String name, String help, double[] bounds, String... labels) {
    return Histogram.builder()
        .name(checked(name))
        .help(help)
        .labelNames(labels)
        .classicOnly()
        .classicUpperBounds(bounds)
        .register(registry);
  }
}
