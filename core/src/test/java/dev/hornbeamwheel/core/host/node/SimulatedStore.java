package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.catalog.StoreVersion;
import dev.hornbeamwheel.core.host.keys.KeyEffect;
import dev.hornbeamwheel.core.host.keys.KeyTable;
import dev.hornbeamwheel.core.host.keys.TableReadResult;
import dev.hornbeamwheel.core.host.keys.TableWriteResult;
import dev.hornbeamwheel.core.host.lease.LeaseEffect;
import dev.hornbeamwheel.core.host.lease.LeaseRead;
import dev.hornbeamwheel.core.host.lease.LeaseRow;
import dev.hornbeamwheel.core.host.lease.LeaseWrite;
import java.util.Optional;

/** The lease row and the key table of one service, in a store without eras. */
final class SimulatedStore {
  private Optional<LeaseRow> leaseRow = Optional.empty();
  private long leaseVersion;
  private Optional<KeyTable> keyTable = Optional.empty();
  private long keyTableVersion;

  /** Whether the store responds to reads and writes. */
  boolean available = true;

  /** Returns the lease row; empty if the store does not respond. */
  Optional<LeaseRead> readLease(long nowMillis) {
    return available
        ? Optional.of(new LeaseRead(leaseRow, StoreVersion.ofEraZero(leaseVersion), nowMillis))
        : Optional.empty();
  }

  LeaseWrite writeLease(long nowMillis, LeaseEffect.Write write) {
    if (!available) {
      return new LeaseWrite.NotApplied();
    }
    if (write.expectedVersion().number() != leaseVersion) {
      return new LeaseWrite.Conflict();
    }
    leaseRow = Optional.of(write.row());
    leaseVersion++;
    return new LeaseWrite.Written(StoreVersion.ofEraZero(leaseVersion), nowMillis);
  }

  TableReadResult readKeyTable() {
    return available
        ? new TableReadResult.Found(keyTable, StoreVersion.ofEraZero(keyTableVersion))
        : new TableReadResult.Failed();
  }

  TableWriteResult writeKeyTable(KeyEffect.WriteTable write) {
    if (!available || write.expectedVersion().number() != keyTableVersion) {
      return new TableWriteResult.Unconfirmed();
    }
    keyTable = Optional.of(write.table());
    keyTableVersion++;
    return new TableWriteResult.Written(StoreVersion.ofEraZero(keyTableVersion));
  }
}
