package dev.hornbeamwheel.core.host.log;

import java.util.ArrayList;
import java.util.List;

/**
 * One structured log line.
 *
 * <pre>{@code
 * LogEntry.of("refused").with("request", id).with("retryAfterMillis", 120)
 * }</pre>
 */
public final class LogEntry {
  /**
   * One field of a line.
   *
   * @param name name of the field
   * @param value a text or a number
   */
  public record Field(String name, Object value) {}

  private final String event;
  private final boolean failure;
  private final List<Field> fields = new ArrayList<>();

  private LogEntry(String event, boolean failure) {
    this.event = event;
    this.failure = failure;
  }

  /** Returns a line about something that went as it should. */
  public static LogEntry of(String event) {
    return new LogEntry(event, false);
  }

  /**
   * Returns a line about a failure; such lines are written first when lines have to be left out.
   */
  public static LogEntry failure(String event) {
    return new LogEntry(event, true);
  }

  /** Returns whether the line is about a failure. */
  public boolean isFailure() {
    return failure;
  }

  /** Adds a text. */
  public LogEntry with(String name, String value) {
    fields.add(new Field(name, value));
    return this;
  }

  /** Adds a number. */
  public LogEntry with(String name, long value) {
    fields.add(new Field(name, value));
    return this;
  }

  /** Returns what happened, one word for each kind of line. */
  public String event() {
    return event;
  }

  /** Returns the fields in the order in which they were added. */
  public List<Field> fields() {
    return List.copyOf(fields);
  }
}
