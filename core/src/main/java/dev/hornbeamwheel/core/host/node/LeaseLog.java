package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.lease.LeaseEffect;
import dev.hornbeamwheel.core.host.lease.LeaseRow;
import dev.hornbeamwheel.core.host.log.LogEntry;

/** Log entries about the coordinator's lease. */
final class LeaseLog {
  private LeaseLog() {}

  /** Returns an entry about a coordinator that this host follows from now on. */
  static LogEntry followed(LeaseRow row) {
    return LogEntry.of("coordinator-known")
        .with("term", row.term())
        .with("host", row.holder().value())
        .with("address", row.address().toString());
  }

  /** Returns an entry about a lease that this host no longer holds. */
  static LogEntry lost(LeaseEffect.Lost lost) {
    return LogEntry.failure("lease-lost").with("term", lost.term()).with("reason", lost.reason());
  }

  /** Returns an entry about a lease that this host goes on holding after a restore of the store. */
  static LogEntry continued(LeaseEffect.Continued continued) {
    return LogEntry.of("lease-continued").with("term", continued.term());
  }
}
