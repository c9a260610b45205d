package dev.hornbeamwheel.core.membership;

import dev.hornbeamwheel.core.TimedEvent;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.List;

/** What membership reacts to. */
public sealed interface GossipEvent extends TimedEvent {
  /** Time has passed; due at least every 100 ms. */
  record Tick(long atMillis) implements GossipEvent {}

  /** A message of another member has arrived. */
  record Received(long atMillis, MemberId from, Incarnation incarnation, GossipMessage message)
      implements GossipEvent {}

  /** The platform's host list was read. */
  record HostListRead(long atMillis, List<Seed> seeds) implements GossipEvent {
    /** Copies the list. */
    public HostListRead {
      seeds = List.copyOf(seeds);
    }
  }

  /** This process publishes a new version of an item. */
  record LocalChange(long atMillis, Item item) implements GossipEvent {}

  /** This process reports an item to one member alone. */
  record LocalReport(long atMillis, MemberId to, Item item) implements GossipEvent {}

  /** The connection to a member was refused or broke. */
  record Unreachable(long atMillis, MemberId member) implements GossipEvent {}

  /** This process begins a planned stop. */
  record Leaving(long atMillis) implements GossipEvent {}
}
