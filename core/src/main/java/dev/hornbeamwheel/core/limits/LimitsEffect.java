package dev.hornbeamwheel.core.limits;

import dev.hornbeamwheel.core.model.MemberId;

/** What either side of the contract limits asks its process to do. */
public sealed interface LimitsEffect {
  /** Sends a message; it may be lost. */
  record Send(MemberId to, LimitsMessage message) implements LimitsEffect {}

  /**
   * Reads the row of a group from the table.
   *
   * @param group the group
   * @param attempt number that the event with the outcome repeats
   */
  record ReadRow(int group, long attempt) implements LimitsEffect {}

  /**
   * Writes the row of a group on the condition that the table still holds the expected version.
   *
   * @param row the row to write
   * @param expectedVersion version that the row must have; zero for no row
   * @param attempt number that the event with the outcome repeats
   */
  record WriteRow(SharesRow row, long expectedVersion, long attempt) implements LimitsEffect {}
}
