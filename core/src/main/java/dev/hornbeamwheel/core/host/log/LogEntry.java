package dev.hornbeamwheel.core.host.log;

import java.util.ArrayList;
import java.util.List;

/**
 * A structured log entry.
 *
 * <pre>{@code
 * LogEntry.of("refused").with("request", id).with("retryAfterMillis", 120)
 * }</pre>
 */
public final class LogEntry {
  /**
   * A field of a log entry.
   *
   * @param name name of the field
   * @param value a {@code String} or a {@code Long}
   */
  public record Field(String name, Object value) {}

  private final String event;
  private final boolean failure;
  private final List<Field> fields = new ArrayList<>();

  private LogEntry(String event, boolean failure) {
    this.event = event;
    this.failure = failure;
  }

  /** Returns an entry without fields for an event that is not a failure. */
  public static LogEntry of(String event) {
    return new LogEntry(event, false);
  }

  /**
   * Returns an entry without fields for a failure. Such entries have a higher rate limit in the
   * log.
   */
  public static LogEntry failure(String event) {
    return new LogEntry(event, true);
  }

  /** Returns whether the entry reports a failure. */
  public boolean isFailure() {
    return failure;
  }

  /** Adds a text field and returns this entry. */
  public LogEntry with(String name, String value) {
    fields.add(new Field(name, value));
    return this;
  }

  /** Adds a numeric field and returns this entry. */
  public LogEntry with(String name, long value) {
    fields.add(new Field(name, value));
    return this;
  }

  /** Returns the name of the event, one fixed name for each kind of entry. */
  public String event() {
    return event;
  }

  /** Returns the fields in insertion order. */
  public List<Field> fields() {
    return List.copyOf(fields);
  }
}
