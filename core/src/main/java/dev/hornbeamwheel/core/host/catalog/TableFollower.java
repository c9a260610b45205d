package dev.hornbeamwheel.core.host.catalog;

import java.util.List;
import java.util.Optional;

/**
 * Decides whether a host follows a table in the store or through the coordinator.
 *
 * <p>The host knows the whole table as of one version, whichever source the changes came from. It
 * takes over changes of the coordinator that begin at that version or before, and leaves out those
 * rows that it knows already, so that a coordinator which lags behind never brings back an earlier
 * row. While a change is missing in between, or the coordinator is not heard, the host reads the
 * store. Changes of another era never continue what the host knows: it reads the whole table.
 */
public final class TableFollower {
  private StoreVersion version = StoreVersion.unknown();

  /** Version up to which the coordinator has sent the changes; empty if it has not named one. */
  private Optional<StoreVersion> coordinatorVersion = Optional.empty();

  private boolean coordinatorHeard;

  private TableFollower() {}

  /** Returns a follower that knows nothing of the table yet. */
  public static TableFollower create() {
    return new TableFollower();
  }

  /** Returns the version as of which the table is known; negative before the first read. */
  public StoreVersion version() {
    return version;
  }

  /**
   * Returns whether the host has to read the changes from the store now; also while the coordinator
   * does not know the era that the host has read, since its changes are not used then.
   */
  public boolean readsStore() {
    boolean covered =
        coordinatorVersion
            .filter(sent -> sent.era() == version.era() && !version.isBefore(sent))
            .isPresent();
    return !coordinatorHeard || !covered;
  }

  /** Returns whether the coordinator has read the table in a later era than this host. */
  public boolean laterEraNamed() {
    return coordinatorHeard
        && coordinatorVersion.filter(sent -> sent.era() > version.era()).isPresent();
  }

  /** Records that the table was read from the store as of a version. */
  public void storeRead(StoreVersion readVersion) {
    version = StoreVersion.max(version, readVersion);
  }

  /** Records that the coordinator is heard from now on; its first message names its version. */
  public void coordinatorHeard() {
    coordinatorHeard = true;
    coordinatorVersion = Optional.empty();
  }

  /** Records that the coordinator is not heard any more. */
  public void coordinatorLost() {
    coordinatorHeard = false;
  }

  /** Takes over changes from the coordinator; returns the rows to apply, in order. */
  public List<StoredRow> coordinatorSent(TableChanges changes) {
    coordinatorVersion = Optional.of(changes.version());
    if (version.isBefore(changes.afterVersion()) || changes.version().era() != version.era()) {
      return List.of();
    }
    long known = version.number();
    version = StoreVersion.max(version, changes.version());
    return changes.rows().stream().filter(row -> row.version() > known).toList();
  }
}
