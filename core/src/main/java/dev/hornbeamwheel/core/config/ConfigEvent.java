package dev.hornbeamwheel.core.config;

import dev.hornbeamwheel.core.TimedEvent;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.List;

/** What the version line of the configuration reacts to. */
public sealed interface ConfigEvent extends TimedEvent {
  /** Time has passed; due at least every 100 ms. */
  record Tick(long atMillis) implements ConfigEvent {}

  /** The configuration row was read from the platform. */
  record ConfigurationRead(long atMillis, Configuration configuration) implements ConfigEvent {}

  /** A peer told of a configuration. */
  record ConfigurationLearned(long atMillis, Configuration configuration) implements ConfigEvent {}

  /** The present members of this process's data centre, itself included. */
  record PeersKnown(long atMillis, List<MemberId> members) implements ConfigEvent {
    /** Copies the list. */
    public PeersKnown {
      members = List.copyOf(members);
    }
  }
}
