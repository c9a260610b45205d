package dev.hornbeamwheel.core.limits;

import dev.hornbeamwheel.core.TimedEvent;
import dev.hornbeamwheel.core.config.Contract;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.List;
import java.util.Optional;

/** What the router's side of the contract limits reacts to. */
public sealed interface LimitsEvent extends TimedEvent {
  /** Time has passed; due at least every 50 ms. */
  record Tick(long atMillis) implements LimitsEvent {}

  /** The contracts in force have changed. */
  record ContractsInForce(long atMillis, List<Contract> contracts) implements LimitsEvent {
    /** Copies the list. */
    public ContractsInForce {
      contracts = List.copyOf(contracts);
    }
  }

  /** The arbiter of a group in this data centre is known, or is not. */
  record ArbiterKnown(long atMillis, int group, Optional<MemberId> arbiter)
      implements LimitsEvent {}

  /** The arbiter has answered. */
  record GrantReceived(long atMillis, MemberId from, LimitsMessage.Grant grant)
      implements LimitsEvent {}
}
