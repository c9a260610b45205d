package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.placement.PlacementPolicy;
import java.util.Random;

/** State and collaborators shared by the cells of one controller. */
final class ControllerContext {
  private final Voter self;
  private final DataCentreId dataCentre;
  private final OwnershipOptions options;
  private final PlacementPolicy policy;
  private final ClaimsSource claims;
  private final Random random;
  private final SkippedStep skippedStep;
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
      SkippedStep skippedStep) {
    this.self = self;
    this.dataCentre = dataCentre;
    this.options = options;
    this.policy = policy;
    this.claims = claims;
    this.random = new Random(seed);
    this.skippedStep = skippedStep;
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

  SkippedStep skippedStep() {
    return skippedStep;
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

  /** Returns a random delay from zero to {@code boundMillis}, exclusive. */
  long jitter(int boundMillis) {
    return random.nextInt(boundMillis);
  }

  /** Returns a number greater than any that this incarnation of the controller has used. */
  long nextId() {
    return ++lastId;
  }

  /** Returns a unique operation id for a write. */
  String nextOperationId() {
    return self.member() + "/" + self.incarnation().value() + "/" + nextId();
  }
}
