package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.catalog.CatalogTable;
import dev.hornbeamwheel.core.host.catalog.StoreVersion;
import dev.hornbeamwheel.core.host.catalog.TableChanges;
import dev.hornbeamwheel.core.host.catalog.TableConfirmation;
import dev.hornbeamwheel.core.host.slots.LinkId;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Sends the changes that the coordinator reads from the store to all connected hosts, so that the
 * number of store calls does not grow with the product of hosts and changes.
 */
final class TablePublisher {
  /** Maximum number of characters of changes that are sent; hosts read larger ones themselves. */
  static final int MAX_CHARACTERS = 200_000;

  /**
   * What the coordinator knows of a table.
   *
   * @param publishedVersion version up to which the hosts were sent the changes
   * @param version version up to which the coordinator has read the table
   * @param readMillis time of the last response of the store
   */
  private record TableState(StoreVersion publishedVersion, StoreVersion version, long readMillis) {}

  private final BiConsumer<LinkId, HostMessage> sender;
  private final Map<CatalogTable, TableState> states = new EnumMap<>(CatalogTable.class);

  /**
   * Creates a publisher.
   *
   * @param sender sends a message to a host
   */
  TablePublisher(BiConsumer<LinkId, HostMessage> sender) {
    this.sender = sender;
  }

  /** Names the versions that the coordinator has read to a host that has just connected. */
  void hostConnected(LinkId host) {
    states.forEach(
        (table, state) ->
            sender.accept(
                host, new HostMessage.CatalogChange(TableChanges.none(table, state.version()))));
  }

  /**
   * Sends changes to all hosts.
   *
   * <p>A read that found none is not sent: the heartbeats name it. If changes before these are not
   * known, as the table was read as a whole, the hosts are sent the version and read it themselves.
   */
  void publish(long nowMillis, TableChanges changes, Set<LinkId> hosts) {
    Optional<TableState> before = Optional.ofNullable(states.get(changes.table()));
    boolean complete =
        before
            .filter(state -> changes.afterVersion().era() == state.version().era())
            .filter(state -> !state.version().isBefore(changes.afterVersion()))
            .isPresent();
    if (complete && changes.rows().isEmpty()) {
      StoreVersion version = StoreVersion.max(before.get().version(), changes.version());
      states.put(
          changes.table(), new TableState(before.get().publishedVersion(), version, nowMillis));
      return;
    }
    StoreVersion afterVersion =
        complete
            ? StoreVersion.min(before.get().publishedVersion(), changes.afterVersion())
            : changes.afterVersion();
    states.put(changes.table(), new TableState(changes.version(), changes.version(), nowMillis));
    HostMessage message = new HostMessage.CatalogChange(toSend(changes, afterVersion));
    hosts.stream()
        .filter(host -> !host.equals(HostNode.LOCAL_LINK))
        .forEach(host -> sender.accept(host, message));
  }

  private static TableChanges toSend(TableChanges changes, StoreVersion afterVersion) {
    int characters = changes.rows().stream().mapToInt(row -> row.value().length()).sum();
    return characters <= MAX_CHARACTERS
        ? new TableChanges(changes.table(), afterVersion, changes.version(), changes.rows())
        : TableChanges.none(changes.table(), changes.version());
  }

  /** Returns what the coordinator knows of the tables, for the heartbeat. */
  List<TableConfirmation> confirmations(long nowMillis) {
    return states.entrySet().stream()
        .map(
            entry ->
                new TableConfirmation(
                    new TableChanges(
                        entry.getKey(),
                        entry.getValue().publishedVersion(),
                        entry.getValue().version(),
                        List.of()),
                    Math.max(0, nowMillis - entry.getValue().readMillis())))
        .toList();
  }
}
