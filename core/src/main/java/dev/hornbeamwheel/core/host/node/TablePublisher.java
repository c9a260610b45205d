package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.catalog.CatalogTable;
import dev.hornbeamwheel.core.host.catalog.TableChanges;
import dev.hornbeamwheel.core.host.slots.LinkId;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Sends the changes that the coordinator reads from the store to all connected hosts, so that the
 * number of store calls does not grow with the product of hosts and changes.
 */
final class TablePublisher {
  /** Maximum number of characters of changes that are sent; hosts read larger ones themselves. */
  static final int MAX_CHARACTERS = 200_000;

  private final BiConsumer<LinkId, HostMessage> sender;
  private final Map<CatalogTable, Long> versions = new EnumMap<>(CatalogTable.class);

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
    versions.forEach(
        (table, version) ->
            sender.accept(host, new HostMessage.CatalogChange(TableChanges.none(table, version))));
  }

  /** Sends changes to all hosts. */
  void publish(TableChanges changes, Set<LinkId> hosts) {
    versions.put(changes.table(), changes.version());
    int characters = changes.rows().stream().mapToInt(row -> row.value().length()).sum();
    HostMessage message =
        new HostMessage.CatalogChange(
            characters <= MAX_CHARACTERS
                ? changes
                : TableChanges.none(changes.table(), changes.version()));
    hosts.stream()
        .filter(host -> !host.equals(HostNode.LOCAL_LINK))
        .forEach(host -> sender.accept(host, message));
  }
}
