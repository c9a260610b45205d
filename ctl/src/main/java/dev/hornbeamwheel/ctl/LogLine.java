package dev.hornbeamwheel.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/**
 * One line of a process's log.
 *
 * @param atMillis when it was written, in Unix milliseconds
 * @param host the process that wrote it
 * @param event what it tells of
 * @param fields all fields
 */
record LogLine(long atMillis, String host, String event, JsonNode fields) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Returns the line of a text, or empty if it holds none; a prefix of a log collector is passed
   * over.
   */
  static Optional<LogLine> parse(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode fields = MAPPER.readTree(text.substring(start));
      return fields.path("event").isTextual()
          ? Optional.of(
              new LogLine(
                  fields.path("at").asLong(),
                  fields.path("host").asText(),
                  fields.path("event").asText(),
                  fields))
          : Optional.empty();
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  /** Returns a field as text; empty if it is missing. */
  String text(String field) {
    return fields.path(field).asText("");
  }

  /** Returns a field as a number; zero if it is missing. */
  long number(String field) {
    return fields.path(field).asLong();
  }
}
