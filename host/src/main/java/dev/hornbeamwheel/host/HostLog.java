package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.log.LogEntry;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log entries as JSON lines without blocking the event loop.
 *
 * <p>Each kind of entry is limited to a number of lines per second, with a higher limit for
 * failures. Suppressed lines are counted by kind, and the counts are logged. Lines that do not fit
 * into the queue are dropped and counted.
 */
final class HostLog implements AutoCloseable {
  /** Capacity of the queue to the writer thread, in lines. */
  private static final int MAX_QUEUED_LINES = 2_000;

  /** Maximum lines per second of each kind of entry. */
  private static final int MAX_LINES_PER_SECOND = 40;

  /** Maximum lines per second of each kind of failure. */
  private static final int MAX_FAILURE_LINES_PER_SECOND = 120;

  /** Queue element that stops the writer thread. */
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

  /** Returns a log that writes to a stream; its writer thread is running. */
  static HostLog start(String host, PrintStream out) {
    HostLog log = new HostLog(host, out);
    log.writer.start();
    return log;
  }

  /** Queues an entry for writing; must always be called from the same thread. */
  void write(LogEntry entry) {
    long unixMillis = System.currentTimeMillis();
    if (unixMillis / MILLIS_PER_SECOND != currentSecond) {
      currentSecond = unixMillis / MILLIS_PER_SECOND;
      linesThisSecond.clear();
      logSuppressedLines(unixMillis);
    }
    int limit = entry.isFailure() ? MAX_FAILURE_LINES_PER_SECOND : MAX_LINES_PER_SECOND;
    if (linesThisSecond.merge(entry.event(), 1, Integer::sum) > limit) {
      suppressedLines.merge(entry.event(), 1, Integer::sum);
    } else {
      enqueue(JsonLogFormatter.format(unixMillis, host, entry));
    }
  }

  /** Returns the number of lines dropped because the queue was full. */
  long droppedLines() {
    return droppedLines.get();
  }

  /** Writes the queued lines; gives up after a timeout. */
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
