package dev.hornbeamwheel.core.host.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.CatalogTable;
import dev.hornbeamwheel.core.host.catalog.StoredRow;
import dev.hornbeamwheel.core.host.catalog.TableChanges;
import dev.hornbeamwheel.core.host.slots.LinkId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which changes of the store's tables the coordinator sends to which hosts. */
final class TablePublisherTest {
  private static final LinkId HOST = new LinkId(7);
  private static final CatalogTable TABLE = CatalogTable.REGISTRATIONS;

  private final Map<LinkId, TableChanges> sent = new LinkedHashMap<>();
  private final TablePublisher publisher =
      new TablePublisher(
          (link, message) -> sent.put(link, ((HostMessage.CatalogChange) message).changes()));

  private static TableChanges change(String value) {
    return new TableChanges(TABLE, 4, 6, List.of(new StoredRow("i-1", value, 5, false)));
  }

  @Test
  void changesGoToAllOtherHosts() {
    publisher.publish(change("{}"), Set.of(HostNode.LOCAL_LINK, HOST));

    assertThat(sent).containsOnly(Map.entry(HOST, change("{}")));
  }

  @Test
  void hostThatConnectsLearnsTheVersion() {
    publisher.hostConnected(HOST);
    assertThat(sent).isEmpty();
    publisher.publish(change("{}"), Set.of());

    publisher.hostConnected(HOST);

    assertThat(sent).containsOnly(Map.entry(HOST, TableChanges.none(TABLE, 6)));
  }

  // Guards against a link that is full of one large document while slots wait behind it.
  @Test
  void largeChangesAreNamedOnly() {
    publisher.publish(change("x".repeat(TablePublisher.MAX_CHARACTERS + 1)), Set.of(HOST));

    assertThat(sent).containsOnly(Map.entry(HOST, TableChanges.none(TABLE, 6)));
  }
}
