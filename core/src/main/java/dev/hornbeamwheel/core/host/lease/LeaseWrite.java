package dev.hornbeamwheel.core.host.lease;

import dev.hornbeamwheel.core.host.catalog.StoreVersion;

/** The result of a conditional write of the lease row. */
public sealed interface LeaseWrite {
  /**
   * The row was written.
   *
   * @param version the new version of the row
   * @param storeMillis time on the store's clock when it responded
   */
  record Written(StoreVersion version, long storeMillis) implements LeaseWrite {}

  /** The row had another version and must be read again. */
  record Conflict() implements LeaseWrite {}

  /** The outcome is unknown: the write may have been applied or may still be applied later. */
  record InDoubt() implements LeaseWrite {}

  /** The store did not apply the write; it can be retried. */
  record NotApplied() implements LeaseWrite {}
}
