package dev.hornbeamwheel.core.limits;

import dev.hornbeamwheel.core.TimedEvent;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.Term;

/** What the arbiter of a group of contracts in a data centre reacts to. */
public sealed interface ArbiterEvent extends TimedEvent {
  /** Time has passed; due at least every 100 ms. */
  record Tick(long atMillis) implements ArbiterEvent {}

  /** This process leads the limits cell from now on. */
  record BecameLeader(long atMillis, Term term) implements ArbiterEvent {}

  /** This process no longer leads the limits cell; due before another process may lead it. */
  record LostLeadership(long atMillis) implements ArbiterEvent {}

  /** The declarations in force have changed. */
  record DeclarationsInForce(long atMillis, Declarations declarations) implements ArbiterEvent {}

  /** A router of this data centre asks for shares. */
  record RequestReceived(long atMillis, MemberId from, LimitsMessage.Request request)
      implements ArbiterEvent {}

  /** The row was read; it is the initial row if the table has none. */
  record RowRead(long atMillis, long attempt, SharesRow row) implements ArbiterEvent {}

  /** The table took the write. */
  record RowWritten(long atMillis, long attempt, SharesRow row) implements ArbiterEvent {}

  /** The write was refused, or an answer of the table is missing. */
  record RowUncertain(long atMillis, long attempt) implements ArbiterEvent {}
}
