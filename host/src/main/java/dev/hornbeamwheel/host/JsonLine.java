package dev.hornbeamwheel.host;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import dev.hornbeamwheel.core.host.log.LogEntry;

/** Formats a log entry as one line of JSON. */
final class JsonLine {
  private JsonLine() {}

  static String of(long unixMillis, String host, LogEntry entry) {
    StringBuilder line = new StringBuilder(256);
    line.append("{\"at\":").append(unixMillis);
    text(line.append(",\"host\":"), host);
    text(line.append(",\"event\":"), entry.event());
    entry.fields().forEach(field -> append(line, field));
    return line.append('}').toString();
  }

  private static void append(StringBuilder line, LogEntry.Field field) {
    text(line.append(','), field.name());
    line.append(':');
    if (field.value() instanceof Long number) {
      line.append(number.longValue());
    } else {
      text(line, String.valueOf(field.value()));
    }
  }

  private static void text(StringBuilder line, String value) {
    line.append('"');
    JsonStringEncoder.getInstance().quoteAsString(value, line);
    line.append('"');
  }
}
