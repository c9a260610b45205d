package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * The total throughput of the upstreams of one service, in requests per second.
 *
 * <p>The total is updated incrementally when the rate of one upstream changes.
 */
final class ServiceRate {
  private final List<UpstreamRegistration> upstreams;
  private final Map<UpstreamId, Double> rates = new HashMap<>();
  private double perSecond;

  private ServiceRate(List<UpstreamRegistration> upstreams) {
    this.upstreams = upstreams;
  }

  /** Returns the total rate of some upstreams. */
  static ServiceRate of(
      List<UpstreamRegistration> upstreams, ToDoubleFunction<UpstreamRegistration> rate) {
    ServiceRate sum = new ServiceRate(upstreams);
    for (UpstreamRegistration entry : upstreams) {
      double upstreamRate = rate.applyAsDouble(entry);
      sum.rates.put(entry.id(), upstreamRate);
      sum.perSecond += upstreamRate;
    }
    return sum;
  }

  /**
   * Returns whether this is the total of exactly these upstreams; fast for the same list object.
   */
  boolean covers(List<UpstreamRegistration> others) {
    return upstreams.equals(others);
  }

  /** Updates the rate of an upstream; ignored if the upstream is not part of the total. */
  void update(UpstreamId upstream, double rate) {
    Double previous = rates.replace(upstream, rate);
    if (previous != null) {
      perSecond += rate - previous;
    }
  }

  double perSecond() {
    return perSecond;
  }
}
