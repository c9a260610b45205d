package dev.hornbeamwheel.bench.policy;

import org.HdrHistogram.Histogram;

/** What one run of one variant gave. */
final class Result {
  private static final long HIGHEST_MICROS = 60_000_000;
  private static final double MICROS_PER_MILLI = 1_000.0;

  final Histogram latency = new Histogram(HIGHEST_MICROS, 3);
  long requests;
  long refused;
  long messages;

  double millis(double percentile) {
    return latency.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  double messagesPerRequest() {
    return (double) messages / Math.max(1, requests);
  }

  double refusedPercent() {
    return 100.0 * refused / Math.max(1, requests);
  }
}
