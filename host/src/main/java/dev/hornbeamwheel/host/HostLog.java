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
  private static final int MAX_QUEUED_LINES = 2_000;

  /** Lines a second of each kind. */
  private static final int MAX_LINES_PER_SECOND = 40;

  /** Lines a second of each kind that tells of a failure. */
  private static final int MAX_FAILURE_LINES_PER_SECOND = 120;

  /** Tells the writer to end. */
  private static final String END_MARKER = "";

  private static final int MILLIS_PER_SECOND = 1_000;
  private static final long CLOSE_TIMEOUT_MILLIS = 300;

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final Map<String, Integer> linesThisSecond = new HashMap<>();
  private final Map<String, Integer> suppressedLines = new HashMap<>();
  private final AtomicLong droppedLines = new AtomicLong();
  private final String host;
  private final PrintStream out;
  private final Thread writer;
  private long currentSecond;

  private HostLog(String host, PrintStream out) {
    this.host = host;
    this.out = out;
    this.writer = new Thread(this::writeQueue, "log");
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
    if (unixMillis / MILLIS_PER_SECOND != currentSecond) {
      currentSecond = unixMillis / MILLIS_PER_SECOND;
      linesThisSecond.clear();
      logSuppressedLines(unixMillis);
    }
    int limit = entry.failed() ? MAX_FAILURE_LINES_PER_SECOND : MAX_LINES_PER_SECOND;
    if (linesThisSecond.merge(entry.event(), 1, Integer::sum) > limit) {
      suppressedLines.merge(entry.event(), 1, Integer::sum);
    } else {
      enqueue(JsonLogFormatter.format(unixMillis, host, entry));
    }
  }

  /** Returns how many lines the queue had no room for. */
  long droppedLines() {
    return droppedLines.get();
  }

  /** Writes out what waits, for a short time at most. */
  @Override
  public void close() {
    enqueue(END_MARKER);
    try {
      writer.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void logSuppressedLines(long unixMillis) {
    suppressedLines.forEach(
        (event, lines) ->
            enqueue(
                JsonLogFormatter.format(
                    unixMillis,
                    host,
                    LogEntry.of("lines-left-out").with("kind", event).with("lines", lines))));
    suppressedLines.clear();
  }

  private void enqueue(String line) {
    if (!queue.offer(line)) {
      droppedLines.incrementAndGet();
    }
  }

  private void writeQueue() {
    try {
      for (String line = queue.take(); !line.equals(END_MARKER); line = queue.take()) {
        out.println(line);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    out.flush();
  }
}
