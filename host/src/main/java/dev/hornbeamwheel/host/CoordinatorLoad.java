package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.node.CoordinatorStatistics;
import dev.hornbeamwheel.core.host.node.HostMessage;
import java.util.Optional;

/** What coordinating costs this host, as one log line about each second. */
final class CoordinatorLoad {
  /** Time that one line covers, in milliseconds. */
  static final long PERIOD_MILLIS = 1_000;

  private CoordinatorStatistics before = new CoordinatorStatistics(0, 0, 0, 0, 0, 0, 0);
  private long toldBytes;
  private long keyMapBytes;

  /** Notes a message to another host. */
  void sent(HostMessage message, int bytes) {
    toldBytes += bytes;
    if (message instanceof HostMessage.KeyMap || message instanceof HostMessage.KeyMapChange) {
      keyMapBytes += bytes;
    }
  }

  /**
   * Ends a period; returns its line, or empty if this host does not coordinate.
   *
   * @param work what the coordinator has done so far; empty on other hosts
   * @param spanMillis length of the period, in milliseconds
   * @param queuedBytes bytes that wait in this process for the connections to the hosts
   * @param delayMillis how late the event loop was at worst, in milliseconds
   */
  Optional<LogEntry> end(
      Optional<CoordinatorStatistics> work, long spanMillis, long queuedBytes, long delayMillis) {
    Optional<LogEntry> line =
        work.map(
            now -> {
              CoordinatorStatistics since =
                  now.term() == before.term()
                      ? before
                      : new CoordinatorStatistics(now.term(), 0, 0, 0, 0, 0, 0);
              return LogEntry.of("coordinator-load")
                  .with("term", now.term())
                  .with("spanMillis", spanMillis)
                  .with("hosts", now.connectedHosts())
                  .with("asks", now.slotRequests() - since.slotRequests())
                  .with("gives", now.slotGrants() - since.slotGrants())
                  .with("refusals", now.slotRefusals() - since.slotRefusals())
                  .with("orders", now.keyOrders() - since.keyOrders())
                  .with("waiting", now.waitingRequests())
                  .with("toldBytes", toldBytes)
                  .with("keyMapBytes", keyMapBytes)
                  .with("queuedBytes", queuedBytes)
                  .with("loopDelayMillis", delayMillis);
            });
    work.ifPresent(now -> before = now);
    toldBytes = 0;
    keyMapBytes = 0;
    return line;
  }
}
