package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.slots.QueueStatistics;

/**
 * Counters of a coordinator since the start of its term, and its current queue length.
 *
 * @param term number of the coordinator's term
 * @param connectedHosts number of connected hosts, including its own
 * @param slotRequests slot requests received
 * @param slotGrants slots granted
 * @param slotRefusals slot requests refused
 * @param keyOrders grants and releases of keys sent to upstreams
 * @param waitingRequests slot requests in the queue now
 * @param queues waiting requests by data centre, and refusals by cause
 */
public record CoordinatorStatistics(
    long term,
    int connectedHosts,
    long slotRequests,
    long slotGrants,
    long slotRefusals,
    long keyOrders,
    int waitingRequests,
    QueueStatistics queues) {
  /** Creates statistics without those of the queues. */
  public CoordinatorStatistics(
      long term,
      int connectedHosts,
      long slotRequests,
      long slotGrants,
      long slotRefusals,
      long keyOrders,
      int waitingRequests) {
    this(
        term,
        connectedHosts,
        slotRequests,
        slotGrants,
        slotRefusals,
        keyOrders,
        waitingRequests,
        QueueStatistics.empty());
  }
}
