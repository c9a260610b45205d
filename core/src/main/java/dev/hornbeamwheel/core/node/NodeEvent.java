package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.TimedEvent;
import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.limits.ArbiterEvent;
import dev.hornbeamwheel.core.membership.Seed;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.core.ownership.OwnershipEvent;
import dev.hornbeamwheel.core.routing.RoutingEvent;
import java.util.List;

/** Something that a process observed, of any concern. */
public sealed interface NodeEvent extends TimedEvent {
  /** Time has passed; due at least every 50 ms. */
  record Tick(long atMillis) implements NodeEvent {}

  /** A message of another member arrived. */
  record Received(long atMillis, MemberId from, Incarnation incarnation, PeerMessage message)
      implements NodeEvent {}

  /** The connection to a member was refused or broke. */
  record PeerUnreachable(long atMillis, MemberId member) implements NodeEvent {}

  /** The platform's host list, or the settings, named members. */
  record HostListRead(long atMillis, List<Seed> seeds) implements NodeEvent {
    /** Copies the list. */
    public HostListRead {
      seeds = List.copyOf(seeds);
    }
  }

  /** The configuration was read from the platform. */
  record ConfigurationRead(long atMillis, Configuration configuration) implements NodeEvent {}

  /** The row of a cell was read from the table on request of {@link NodeEffect.ReadCellRow}. */
  record CellRowRead(long atMillis, CellRow row) implements NodeEvent {}

  /** The table or an upstream answered the ownership concern. */
  record Ownership(OwnershipEvent event) implements NodeEvent {
    @Override
    public long atMillis() {
      return event.atMillis();
    }
  }

  /** The table answered the arbiter of a group of contracts. */
  record Arbiter(int group, ArbiterEvent event) implements NodeEvent {
    @Override
    public long atMillis() {
      return event.atMillis();
    }
  }

  /** A caller or an upstream did something that concerns routing. */
  record Routing(RoutingEvent event) implements NodeEvent {
    @Override
    public long atMillis() {
      return event.atMillis();
    }
  }

  /** Operators ask that this controller give up one cell. */
  record HandOverRequested(long atMillis, CellId cell) implements NodeEvent {}

  /** A planned stop has begun: the process takes no new work and hands over what it holds. */
  record Stopping(long atMillis) implements NodeEvent {}

  /** What was held has been handed over; the process is about to exit. */
  record Leaving(long atMillis) implements NodeEvent {}
}
