package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.node.CoordinatorStatistics;
import dev.hornbeamwheel.core.host.node.HostMessage;
import java.util.Optional;

/** Measures the load of coordinating on this host and reports it as one log entry per period. */
final class CoordinatorLoad {
  /** Minimum length of a reporting period, in milliseconds. */
  static final long PERIOD_MILLIS = 1_000;

  private CoordinatorStatistics previousWork = new CoordinatorStatistics(0, 0, 0, 0, 0, 0, 0);
  private long sentBytes;
  private long keyMapBytes;

  /** Records a message sent to another host; {@code bytes} is its size. */
  void recordSent(HostMessage message, int bytes) {
    sentBytes += bytes;
    if (message instanceof HostMessage.KeyMap || message instanceof HostMessage.KeyMapChange) {
      keyMapBytes += bytes;
    }
  }

  /**
   * Ends a period and returns its log entry; empty if this host does not coordinate.
   *
   * @param work cumulative work of the coordinator; empty if this host does not coordinate
   * @param spanMillis actual length of the period, in milliseconds
   * @param queuedBytes bytes queued in this process for the connections to other hosts
   * @param delayMillis longest delay of the event loop in the period, in milliseconds
   */
  Optional<LogEntry> endPeriod(
      Optional<CoordinatorStatistics> work, long spanMillis, long queuedBytes, long delayMillis) {
    Optional<LogEntry> entry =
        work.map(
            current -> {
              CoordinatorStatistics baseline =
                  current.term() == previousWork.term()
                      ? previousWork
                      : new CoordinatorStatistics(current.term(), 0, 0, 0, 0, 0, 0);
              return LogEntry.of("coordinator-load")
                  .with("term", current.term())
                  .with("spanMillis", spanMillis)
                  .with("hosts", current.connectedHosts())
                  .with("asks", current.slotRequests() - baseline.slotRequests())
                  .with("gives", current.slotGrants() - baseline.slotGrants())
                  .with("refusals", current.slotRefusals() - baseline.slotRefusals())
                  .with("orders", current.keyOrders() - baseline.keyOrders())
                  .with("waiting", current.waitingRequests())
                  .with("toldBytes", sentBytes)
                  .with("keyMapBytes", keyMapBytes)
                  .with("queuedBytes", queuedBytes)
                  .with("loopDelayMillis", delayMillis);
            });
    work.ifPresent(current -> previousWork = current);
    sentBytes = 0;
    keyMapBytes = 0;
    return entry;
  }
}
