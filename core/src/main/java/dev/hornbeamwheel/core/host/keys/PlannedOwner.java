package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.UpstreamId;

/** An upstream that may own keys, with the demand that it has after the planned moves. */
final class PlannedOwner {
  private final UpstreamRegistration registration;
  private final double capacityPerSecond;
  private double demandPerSecond;
  private int rangeCount;
  private boolean hasHotKey;

  PlannedOwner(UpstreamRegistration registration, double capacityPerSecond) {
    this.registration = registration;
    this.capacityPerSecond = capacityPerSecond;
  }

  UpstreamRegistration registration() {
    return registration;
  }

  UpstreamId id() {
    return registration.id();
  }

  double capacityPerSecond() {
    return capacityPerSecond;
  }

  double demandPerSecond() {
    return demandPerSecond;
  }

  /** Returns whether it owns a hot key, which takes all that it can serve. */
  boolean hasHotKey() {
    return hasHotKey;
  }

  void markHot() {
    hasHotKey = true;
  }

  boolean hasRanges() {
    return rangeCount > 0;
  }

  void addRange(double perSecond) {
    demandPerSecond += perSecond;
    rangeCount++;
  }

  void removeDemand(double perSecond) {
    demandPerSecond -= perSecond;
  }

  double utilisation() {
    return demandPerSecond / capacityPerSecond;
  }

  double utilisationWith(double addedPerSecond) {
    return (demandPerSecond + addedPerSecond) / capacityPerSecond;
  }

  /** Returns the demand whose move to another owner would give both the same utilisation. */
  double levellingDemand(PlannedOwner destination) {
    return (demandPerSecond * destination.capacityPerSecond
            - destination.demandPerSecond * capacityPerSecond)
        / (capacityPerSecond + destination.capacityPerSecond);
  }
}
