package dev.hornbeamwheel.core.host.lease;

/** What became of a conditional write of the lease row. */
public sealed interface LeaseWrite {
  /**
   * The row was written.
   *
   * @param version the new version of the row
   * @param storeMillis the store's clock when it answered
   */
  record Written(long version, long storeMillis) implements LeaseWrite {}

  /** The row had another version; read it again. */
  record Conflict() implements LeaseWrite {}

  /** Nothing is known: the write may be done, or may still be done later. */
  record InDoubt() implements LeaseWrite {}

  /** The store did nothing; try again. */
  record NotApplied() implements LeaseWrite {}
}
