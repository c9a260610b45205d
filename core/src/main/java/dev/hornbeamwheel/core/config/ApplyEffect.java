package dev.hornbeamwheel.core.config;

/** What an operator's apply asks its process to do. */
public sealed interface ApplyEffect {
  /** Reads the configuration row. */
  record ReadRow() implements ApplyEffect {}

  /**
   * Writes the row on the condition that the table still holds the expected version.
   *
   * @param row the row to write
   * @param expectedVersion version of the configuration that the row must hold; zero for no row
   */
  record WriteRow(ConfigurationRow row, long expectedVersion) implements ApplyEffect {}

  /** Ends the apply. */
  record Finished(ApplyResult result) implements ApplyEffect {}
}
