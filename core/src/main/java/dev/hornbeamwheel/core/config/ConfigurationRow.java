package dev.hornbeamwheel.core.config;

import java.util.List;
import java.util.stream.Stream;

/**
 * The table row that holds the configuration.
 *
 * @param configuration the configuration
 * @param operator who applied it
 * @param operationIds ids of the latest applies, newest first, so that an apply whose answer was
 *     lost is settled by reading back
 */
public record ConfigurationRow(
    Configuration configuration, String operator, List<String> operationIds) {
  /** Name of the row. */
  public static final String NAME = "configuration";

  /** Number of operation ids that a row keeps. */
  static final int HISTORY = 16;

  /** Copies the list. */
  public ConfigurationRow {
    operationIds = List.copyOf(operationIds);
  }

  /** Returns the row before the first apply. */
  public static ConfigurationRow initial() {
    return new ConfigurationRow(Configuration.initial(), "", List.of());
  }

  /** Returns the position on the version line. */
  public long version() {
    return configuration.version();
  }

  /** Returns the row that follows this one. */
  ConfigurationRow next(Declarations declarations, String newOperator, String operationId) {
    return new ConfigurationRow(
        new Configuration(version() + 1, declarations),
        newOperator,
        Stream.concat(Stream.of(operationId), operationIds.stream()).limit(HISTORY).toList());
  }

  /**
   * Returns the version that an operation wrote.
   *
   * @return zero if the row no longer or never knew of it
   */
  long versionOf(String operationId) {
    int index = operationIds.indexOf(operationId);
    return index < 0 ? 0 : version() - index;
  }
}
