package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.catalog.CatalogTable;
import dev.hornbeamwheel.core.host.catalog.TableChanges;
import dev.hornbeamwheel.core.host.catalog.TableConfirmation;
import dev.hornbeamwheel.core.host.catalog.TableSource;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Decides from where a host takes the changes of the store's tables.
 *
 * <p>It relies on the coordinator while that reports often that it holds the lease, and that the
 * store has lately confirmed its view of the table. The lease alone is no proof: its renewals are
 * other calls than the reads of the tables, and may succeed while those get no response.
 */
final class CoordinatorWatch {
  /** Time without a report after which a host reads the store itself, in milliseconds. */
  static final long SILENCE_MILLIS = 700;

  /**
   * Age of the coordinator's view of a table after which a host reads the store itself, in
   * milliseconds; leaves time for a read that fails once before a change must be in force.
   */
  static final long MAX_AGE_MILLIS = 1_100;

  /** Range of the additional age by which hosts differ, so that they read one after the other. */
  static final int STAGGER_MILLIS = 200;

  private record Confirmed(TableChanges changes, long atMillis) {}

  private final long maxAgeMillis;
  private final Map<CatalogTable, Confirmed> confirmed = new EnumMap<>(CatalogTable.class);
  private final Map<CatalogTable, TableSource> sources = new EnumMap<>(CatalogTable.class);

  /**
   * Creates a watch.
   *
   * @param seed determines the additional age that this host accepts
   */
  CoordinatorWatch(long seed) {
    this.maxAgeMillis = MAX_AGE_MILLIS + Math.floorMod(seed, STAGGER_MILLIS);
  }

  /** Forgets the reports of a coordinator to which the connection has ended. */
  void connectionEnded() {
    confirmed.clear();
  }

  /**
   * Records what the coordinator knows of the tables; returns what is new of it, for the tables'
   * followers.
   */
  List<HostEffect> confirmed(long nowMillis, List<TableConfirmation> confirmations) {
    List<HostEffect> effects = new ArrayList<>();
    for (TableConfirmation confirmation : confirmations) {
      TableChanges changes = confirmation.changes();
      Confirmed last =
          confirmed.put(
              confirmation.table(), new Confirmed(changes, nowMillis - confirmation.ageMillis()));
      if (last == null || !last.changes().equals(changes)) {
        effects.add(new HostEffect.TakeOverChanges(changes));
      }
    }
    return effects;
  }

  /**
   * Updates the decisions; returns those that have changed.
   *
   * @param coordinating whether this host is the coordinator
   * @param connected whether the host is connected to a coordinator other than itself
   * @param lastLeaseHeldMillis time of the last report that the coordinator holds the lease
   */
  List<HostEffect> update(
      long nowMillis, boolean coordinating, boolean connected, long lastLeaseHeldMillis) {
    boolean heard = connected && nowMillis - lastLeaseHeldMillis <= SILENCE_MILLIS;
    List<HostEffect> effects = new ArrayList<>();
    for (CatalogTable table : CatalogTable.values()) {
      TableSource source =
          coordinating ? TableSource.STORE_FOR_OTHERS : source(nowMillis, table, heard);
      if (sources.put(table, source) != source) {
        effects.add(new HostEffect.FollowTable(table, source));
        if (source == TableSource.COORDINATOR) {
          effects.add(new HostEffect.TakeOverChanges(confirmed.get(table).changes()));
        }
      }
    }
    return effects;
  }

  private TableSource source(long nowMillis, CatalogTable table, boolean heard) {
    Confirmed last = confirmed.get(table);
    boolean recent = last != null && nowMillis - last.atMillis() <= maxAgeMillis;
    return heard && recent ? TableSource.COORDINATOR : TableSource.STORE;
  }
}
