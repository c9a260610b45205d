package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.host.catalog.UpstreamEntry;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * How many requests a second the upstreams of one service can serve together.
 *
 * <p>The sum is kept, and follows when the rate of one upstream changes.
 */
final class ServiceRate {
  private final List<UpstreamEntry> upstreams;
  private final Map<UpstreamId, Double> rates = new HashMap<>();
  private double perSecond;

  private ServiceRate(List<UpstreamEntry> upstreams) {
    this.upstreams = upstreams;
  }

  /** Returns the sum of the rates of these upstreams. */
  static ServiceRate of(List<UpstreamEntry> upstreams, ToDoubleFunction<UpstreamEntry> rate) {
    ServiceRate sum = new ServiceRate(upstreams);
    for (UpstreamEntry entry : upstreams) {
      double part = rate.applyAsDouble(entry);
      sum.rates.put(entry.id(), part);
      sum.perSecond += part;
    }
    return sum;
  }

  /** Returns whether this is the sum of these upstreams; at once if the list is the same. */
  boolean covers(List<UpstreamEntry> others) {
    return upstreams.equals(others);
  }

  /** Notes the rate of an upstream; one that is not of the sum is left out. */
  void update(UpstreamId upstream, double rate) {
    Double before = rates.replace(upstream, rate);
    if (before != null) {
      perSecond += rate - before;
    }
  }

  double perSecond() {
    return perSecond;
  }
}
