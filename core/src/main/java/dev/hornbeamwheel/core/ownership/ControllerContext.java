package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.placement.PlacementPolicy;
import java.util.Random;

/** What the cells of one controller share. */
final class ControllerContext {
  private final Voter self;
  private final DataCentreId dataCentre;
  private final OwnershipOptions options;
  private final PlacementPolicy policy;
  private final ClaimsSource claims;
  private final Random random;
  private final SkippedStep shortcut;
  private final Outbox outbox;
  private final Topology topology;
  private final LoadReports loadReports = new LoadReports();
  private long lastId;
  private boolean stopping;

  ControllerContext(
      Voter self,
      DataCentreId dataCentre,
      OwnershipOptions options,
      PlacementPolicy policy,
      ClaimsSource claims,
      long seed,
      SkippedStep shortcut) {
    this.self = self;
    this.dataCentre = dataCentre;
    this.options = options;
    this.policy = policy;
    this.claims = claims;
    this.random = new Random(seed);
    this.shortcut = shortcut;
    this.outbox = new Outbox(self);
    this.topology = new Topology(options);
  }

  Voter self() {
    return self;
  }

  DataCentreId dataCentre() {
    return dataCentre;
  }

  OwnershipOptions options() {
    return options;
  }

  PlacementPolicy policy() {
    return policy;
  }

  ClaimsSource claims() {
    return claims;
  }

  SkippedStep shortcut() {
    return shortcut;
  }

  Outbox outbox() {
    return outbox;
  }

  Topology topology() {
    return topology;
  }

  LoadReports loadReports() {
    return loadReports;
  }

  boolean stopping() {
    return stopping;
  }

  void stop() {
    stopping = true;
  }

  /** Returns a random time up to {@code boundMillis}, exclusive. */
  long jitter(int boundMillis) {
    return random.nextInt(boundMillis);
  }

  /** Returns a number greater than all that this start of the controller used before. */
  long nextId() {
    return ++lastId;
  }

  /** Returns an operation id that no other write has. */
  String nextOperationId() {
    return self.member() + "/" + self.incarnation().value() + "/" + nextId();
  }
}
