package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.Slice;
import java.util.Map;

/**
 * What one router measured of one cell in one interval.
 *
 * @param reporter the router
 * @param service the service of the cell
 * @param cell index of the cell
 * @param requestsPerSecond load of each slice and of each hot key; absent means none
 */
public record LoadReport(
    MemberId reporter, ServiceId service, int cell, Map<Slice, Double> requestsPerSecond) {
  /** Copies the map. */
  public LoadReport {
    requestsPerSecond = Map.copyOf(requestsPerSecond);
  }
}
