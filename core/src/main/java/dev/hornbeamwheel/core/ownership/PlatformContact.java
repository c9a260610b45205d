package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.config.Isolation;
import dev.hornbeamwheel.core.config.Service;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks when the platform was last known to hold each term number of a cell, and whether this
 * controller may serve without newer contact.
 */
final class PlatformContact {
  /**
   * Age of the last contact with the platform after which the leader of a {@code YIELD} service
   * reads the row, to show that it is not isolated.
   */
  private static final long REFRESH_MILLIS = 700;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final ControllerContext context;
  private final Map<Long, Long> seenAtByTermNumber = new HashMap<>();

  PlatformContact(ControllerContext context) {
    this.context = context;
  }

  /** Records that the platform held a term number at a time. */
  void record(long termNumber, long at) {
    seenAtByTermNumber.merge(termNumber, at, Math::max);
  }

  /** Returns when the platform was last known to hold the term number of an election. */
  private long seenAt(Election election) {
    return seenAtByTermNumber.getOrDefault(election.term().number(), NEVER);
  }

  /**
   * Returns whether the service may be served: a {@code YIELD} service needs recent contact with
   * the platform or the witnesses.
   */
  boolean mayServe(Service service, Election election, long now) {
    return service.isolation() == Isolation.KEEP_SERVING
        || now < seenAt(election) + ClockDrift.minElapsed(context.options().yieldAfterMillis())
        || election.witnessLeaseValid(now, context.options());
  }

  /** Returns whether the row should be read to renew the contact for a current election. */
  boolean refreshDue(Service service, Optional<Election> current, long now) {
    return service.isolation() == Isolation.YIELD
        && current
            .filter(e -> e.leaseValid(now, context.options()))
            .filter(e -> !e.witnessLeaseValid(now, context.options()))
            .filter(e -> now - seenAt(e) >= REFRESH_MILLIS)
            .isPresent();
  }
}
