package dev.hornbeamwheel.core.host.capacity;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Map;

/** The learned limits that a host has received last, for its choices without the coordinator. */
public final class HostLimits {
  private Map<UpstreamId, Integer> limits = Map.of();

  /** Returns the limits of a host that has received none: the declared slots. */
  public static HostLimits empty() {
    return new HostLimits();
  }

  private HostLimits() {}

  /** Replaces all limits. */
  public void replaceAll(Map<UpstreamId, Integer> current) {
    limits = Map.copyOf(current);
  }

  /** Returns the number of requests that an upstream may run at once. */
  public int limit(UpstreamRegistration upstream) {
    Integer learned = limits.get(upstream.id());
    return learned == null ? upstream.slots() : Math.min(learned, upstream.slots());
  }

  /** Returns the limits that are lower than the slots, by upstream. */
  public Map<UpstreamId, Integer> asMap() {
    return limits;
  }
}
