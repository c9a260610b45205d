package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.node.CoordinatorWork;
import dev.hornbeamwheel.core.host.node.HostMessage;
import java.util.Optional;

/** What coordinating costs this host, as one log line about each second. */
final class CoordinatorLoad {
  /** Time that one line covers, in milliseconds. */
  static final long PERIOD_MILLIS = 1_000;

  private CoordinatorWork previousWork = new CoordinatorWork(0, 0, 0, 0, 0, 0, 0);
  private long sentBytes;
  private long keyMapBytes;

  /** Notes a message to another host. */
  void recordSent(HostMessage message, int bytes) {
    sentBytes += bytes;
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
  Optional<LogEntry> endPeriod(
      Optional<CoordinatorWork> work, long spanMillis, long queuedBytes, long delayMillis) {
    Optional<LogEntry> line =
        work.map(
            now -> {
              CoordinatorWork since =
                  now.term() == previousWork.term()
                      ? previousWork
                      : new CoordinatorWork(now.term(), 0, 0, 0, 0, 0, 0);
              return LogEntry.of("coordinator-load")
                  .with("term", now.term())
                  .with("spanMillis", spanMillis)
                  .with("hosts", now.hosts())
                  .with("asks", now.asks() - since.asks())
                  .with("gives", now.gives() - since.gives())
                  .with("refusals", now.refusals() - since.refusals())
                  .with("orders", now.orders() - since.orders())
                  .with("waiting", now.waiting())
                  .with("toldBytes", sentBytes)
                  .with("keyMapBytes", keyMapBytes)
                  .with("queuedBytes", queuedBytes)
                  .with("loopDelayMillis", delayMillis);
            });
    work.ifPresent(now -> previousWork = now);
    sentBytes = 0;
    keyMapBytes = 0;
    return line;
  }
}
