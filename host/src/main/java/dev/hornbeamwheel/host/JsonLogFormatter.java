package dev.hornbeamwheel.host;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import dev.hornbeamwheel.core.host.log.LogEntry;

/** Formats log entries as JSON, one object per line. */
final class JsonLogFormatter {
  private JsonLogFormatter() {}

  /** Returns an entry as one line without a line end; {@code unixMillis} is its time. */
  static String format(long unixMillis, String host, LogEntry entry) {
    StringBuilder line = new StringBuilder(256);
    line.append("{\"at\":").append(unixMillis);
    appendString(line.append(",\"host\":"), host);
    appendString(line.append(",\"event\":"), entry.event());
    entry.fields().forEach(field -> appendField(line, field));
    return line.append('}').toString();
  }

  private static void appendField(StringBuilder line, LogEntry.Field field) {
    appendString(line.append(','), field.name());
    line.append(':');
    if (field.value() instanceof Long number) {
      line.append(number.longValue());
    } else {
      appendString(line, String.valueOf(field.value()));
    }
  }

  private static void appendString(StringBuilder line, String value) {
    line.append('"');
    JsonStringEncoder.getInstance().quoteAsString(value, line);
    line.append('"');
  }
}
