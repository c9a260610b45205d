package dev.hornbeamwheel.runtime.member;

import dev.hornbeamwheel.platform.PlatformFailure;
import dev.hornbeamwheel.runtime.metrics.Metrics;
import io.prometheus.metrics.core.metrics.Counter;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/** Counts failed calls of the platform and of upstreams by kind, and logs them at debug level. */
public final class PlatformErrors {
  private static final Logger LOGGER = System.getLogger(PlatformErrors.class.getName());

  private final Counter counter;

  /** Makes a count in a registry of metrics. */
  public PlatformErrors(Metrics metrics) {
    this.counter =
        metrics.counter(
            "hornbeamwheel_platform_errors_total",
            "Calls of the platform and orders to upstreams that failed, by kind of error.",
            "kind");
  }

  /** Counts one failure. */
  public void count(PlatformFailure failure) {
    counter.labelValues(failure.anchor()).inc();
    LOGGER.log(Level.DEBUG, "{0}: {1}", failure.anchor(), failure);
  }

  /** Counts a row of the table that holds something else than it should. */
  public void unreadableRow(String row, IllegalArgumentException cause) {
    counter.labelValues("table-row-unreadable").inc();
    LOGGER.log(Level.ERROR, "row " + row + " is unreadable; restore it or delete it", cause);
  }
}
