package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.log.LogEntry;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log entries as JSON lines, without ever making the event loop wait.
 *
 * <p>Each kind of entry has a number of lines a second; failures have more. Lines beyond it, and
 * lines for which the queue has no room, are counted, and the counts are logged.
 */
final class HostLog implements AutoCloseable {
  /** Lines that may wait for the writer. */
  private static final int QUEUE_LINES = 2_000;

  /** Lines a second of each kind. */
  private static final int LINES_PER_SECOND = 40;

  /** Lines a second of each kind that tells of a failure. */
  private static final int FAILURE_LINES_PER_SECOND = 120;

  /** Tells the writer to end. */
  private static final String END = "";

  private static final int MILLIS_PER_SECOND = 1_000;
  private static final long CLOSE_MILLIS = 300;

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
  private final Map<String, Integer> linesThisSecond = new HashMap<>();
  private final Map<String, Integer> leftOut = new HashMap<>();
  private final AtomicLong dropped = new AtomicLong();
  private final String host;
  private final PrintStream out;
  private final Thread writer;
  private long second;

  private HostLog(String host, PrintStream out) {
    this.host = host;
    this.out = out;
    this.writer = new Thread(this::writeAll, "log");
    writer.setDaemon(true);
  }

  /** Returns a log that writes to a stream; its thread runs. */
  static HostLog start(String host, PrintStream out) {
    HostLog log = new HostLog(host, out);
    log.writer.start();
    return log;
  }

  /** Writes an entry; from one thread only. */
  void write(LogEntry entry) {
    long unixMillis = System.currentTimeMillis();
    if (unixMillis / MILLIS_PER_SECOND != second) {
      second = unixMillis / MILLIS_PER_SECOND;
      linesThisSecond.clear();
      reportLeftOut(unixMillis);
    }
    int limit = entry.isFailure() ? FAILURE_LINES_PER_SECOND : LINES_PER_SECOND;
    if (linesThisSecond.merge(entry.event(), 1, Integer::sum) > limit) {
      leftOut.merge(entry.event(), 1, Integer::sum);
    } else {
      offer(JsonLine.of(unixMillis, host, entry));
    }
  }

  /** Returns how many lines the queue had no room for. */
  long dropped() {
    return dropped.get();
  }

  /** Writes out what waits, for a short time at most. */
  @Override
  public void close() {
    offer(END);
    try {
      writer.join(CLOSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void reportLeftOut(long unixMillis) {
    leftOut.forEach(
        (event, lines) ->
            offer(
                JsonLine.of(
                    unixMillis,
                    host,
                    LogEntry.of("lines-left-out").with("kind", event).with("lines", lines))));
    leftOut.clear();
  }

  private void offer(String line) {
    if (!queue.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  private void writeAll() {
    try {
      for (String line = queue.take(); !line.equals(END); line = queue.take()) {
        out.println(line);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    out.flush();
  }
}
