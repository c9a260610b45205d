package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.Map;

/**
 * Queue lengths and refusals of a coordinator.
 *
 * @param waiting number of slot requests that wait, by the data centre of the host
 * @param refusals number of slot requests refused since the start of the term, by cause
 */
public record QueueStatistics(Map<DataCentreId, Long> waiting, Map<RefusalCause, Long> refusals) {
  /** Copies the maps. */
  public QueueStatistics {
    waiting = Map.copyOf(waiting);
    refusals = Map.copyOf(refusals);
  }

  /** Returns the statistics of a coordinator that has received no request. */
  public static QueueStatistics empty() {
    return new QueueStatistics(Map.of(), Map.of());
  }
}
