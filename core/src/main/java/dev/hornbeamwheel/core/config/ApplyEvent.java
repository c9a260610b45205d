package dev.hornbeamwheel.core.config;

import dev.hornbeamwheel.core.TimedEvent;

/** What an operator's apply reacts to. */
public sealed interface ApplyEvent extends TimedEvent {
  /** The row was read; it is the initial row if the table has none. */
  record RowRead(long atMillis, ConfigurationRow row) implements ApplyEvent {}

  /** The table took the write. */
  record Written(long atMillis) implements ApplyEvent {}

  /** The table refused the write because the row had another version. */
  record Conflicted(long atMillis) implements ApplyEvent {}

  /** No answer came, or an error that leaves open whether the write stands. */
  record Unanswered(long atMillis) implements ApplyEvent {}

  /** Time has passed. */
  record Tick(long atMillis) implements ApplyEvent {}
}
