package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.capacity.LimitChange;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Sends the learned limits of upstreams to the connected hosts.
 *
 * <p>All limits are sent together, when they have changed and to each host that connects. A new
 * coordinator sends nothing until it had time to learn; meanwhile hosts keep the limits that they
 * received from the previous one.
 */
final class LimitPublisher {
  /** Minimum time between two rounds, in milliseconds; bounds the bytes sent to all hosts. */
  static final long INTERVAL_MILLIS = 2_000;

  /** Time from the start of a term to the first round, in milliseconds. */
  static final long LEARNING_MILLIS = 10_000;

  /** Maximum number of log lines per round; each states how many changes have none. */
  static final int MAX_LINES = 10;

  private Map<UpstreamId, Integer> published = Map.of();
  private boolean started;
  private long dueMillis;

  /** Creates the publisher of a term that starts now. */
  LimitPublisher(long nowMillis) {
    this.dueMillis = nowMillis + LEARNING_MILLIS;
  }

  /** Returns whether a round is due. */
  boolean due(long nowMillis) {
    return nowMillis >= dueMillis;
  }

  /** Sends the published limits to a host that has connected. */
  void hostConnected(LinkId host, BiConsumer<LinkId, HostMessage> sender) {
    if (started) {
      sender.accept(host, new HostMessage.UpstreamLimits(published));
    }
  }

  /** Sends the limits to all hosts if they differ from those sent last. */
  void publish(
      long nowMillis,
      Map<UpstreamId, Integer> limits,
      Set<LinkId> hosts,
      BiConsumer<LinkId, HostMessage> sender) {
    dueMillis = nowMillis + INTERVAL_MILLIS;
    if (!started || !limits.equals(published)) {
      started = true;
      published = limits;
      hosts.forEach(host -> hostConnected(host, sender));
    }
  }

  /** Returns the log entries of the changes since the previous round, a bounded number. */
  static List<LogEntry> logEntries(long term, List<LimitChange> changes) {
    long unlisted = Math.max(0, changes.size() - MAX_LINES);
    return changes.stream().limit(MAX_LINES).map(change -> entry(term, change, unlisted)).toList();
  }

  private static LogEntry entry(long term, LimitChange change, long unlisted) {
    return LogEntry.of("upstream-limit")
        .with("term", term)
        .with("upstream", change.upstream().value())
        .with("before", change.before())
        .with("limit", change.after())
        .with("slots", change.slots())
        .with("unlistedChanges", unlisted);
  }
}
