package dev.hornbeamwheel.core.host.lease;

/** What the coordinator's lease asks for. */
public sealed interface LeaseEffect {
  /** Read the lease row. */
  record Read() implements LeaseEffect {}

  /**
   * Write the lease row if it still has a version.
   *
   * @param row the new row
   * @param expectedVersion version that the row must have; zero if it must not exist
   */
  record Write(LeaseRow row, long expectedVersion) implements LeaseEffect {}

  /** Another host holds the lease. */
  record HeldByOther(LeaseRow row) implements LeaseEffect {}

  /** This host is the coordinator from now on. */
  record Won(long term) implements LeaseEffect {}

  /** The lease was given up so that a stronger host takes it; the row says so. */
  record HandedOver(long term) implements LeaseEffect {}

  /** This host is no longer the coordinator. */
  record Lost(long term, String reason) implements LeaseEffect {}
}
