package dev.hornbeamwheel.core.host.lease;

import dev.hornbeamwheel.core.host.catalog.StoreVersion;

/** An action or a notification of {@link CoordinatorLease}. */
public sealed interface LeaseEffect {
  /** Reads the lease row. */
  record Read() implements LeaseEffect {}

  /**
   * Writes the lease row if it has the expected version.
   *
   * @param row the new row
   * @param expectedVersion version that the row must have; its number is zero if the row must not
   *     exist
   */
  record Write(LeaseRow row, StoreVersion expectedVersion) implements LeaseEffect {}

  /** Another host holds the lease. */
  record HeldByOther(LeaseRow row) implements LeaseEffect {}

  /** This host is the coordinator from now on. */
  record Won(long term) implements LeaseEffect {}

  /** This host is still the coordinator after the store was restored, with a later term. */
  record Continued(long term) implements LeaseEffect {}

  /**
   * This host released the lease, since it stops or a host with more capacity is to take over; any
   * row that it wrote has expired.
   */
  record HandedOver(long term) implements LeaseEffect {}

  /** This host is no longer the coordinator. */
  record Lost(long term, String reason) implements LeaseEffect {}
}
