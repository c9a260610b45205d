package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.host.catalog.CatalogTable;
import dev.hornbeamwheel.core.host.catalog.StoreVersion;
import dev.hornbeamwheel.core.host.catalog.StoredRow;
import dev.hornbeamwheel.core.host.catalog.TableChanges;
import dev.hornbeamwheel.core.host.catalog.TableConfirmation;
import dev.hornbeamwheel.proto.host.CatalogChangeBody;
import dev.hornbeamwheel.proto.host.CatalogTableCode;
import dev.hornbeamwheel.proto.host.StoredRowBody;
import dev.hornbeamwheel.proto.host.TableConfirmationBody;
import java.util.List;

/** Turns changes of the store's tables into messages and back. */
final class CatalogChangeMapping {
  private CatalogChangeMapping() {}

  static CatalogChangeBody toProto(TableChanges changes) {
    return CatalogChangeBody.newBuilder()
        .setTable(code(changes.table()))
        .setAfterVersion(changes.afterVersion().number())
        .setVersion(changes.version().number())
        .setEra(changes.version().era())
        .addAllRows(changes.rows().stream().map(CatalogChangeMapping::row).toList())
        .build();
  }

  /**
   * Returns the changes in a message.
   *
   * @throws IllegalArgumentException if the table is not known here or a version is impossible
   */
  static TableChanges fromProto(CatalogChangeBody body) {
    checkVersions(body.getAfterVersion(), body.getVersion());
    List<StoredRow> rows =
        body.getRowsList().stream()
            .map(
                row ->
                    new StoredRow(row.getKey(), row.getValue(), row.getVersion(), row.getDeleted()))
            .toList();
    return new TableChanges(
        table(body.getTable()),
        new StoreVersion(body.getEra(), body.getAfterVersion()),
        new StoreVersion(body.getEra(), body.getVersion()),
        rows);
  }

  static TableConfirmationBody confirmation(TableConfirmation confirmation) {
    TableChanges changes = confirmation.changes();
    return TableConfirmationBody.newBuilder()
        .setTable(code(changes.table()))
        .setAfterVersion(changes.afterVersion().number())
        .setVersion(changes.version().number())
        .setEra(changes.version().era())
        .setAgeMillis((int) Math.min(Integer.MAX_VALUE, confirmation.ageMillis()))
        .build();
  }

  /**
   * Returns the confirmation in a message.
   *
   * @throws IllegalArgumentException if the table is not known here or a version is impossible
   */
  static TableConfirmation confirmation(TableConfirmationBody body) {
    checkVersions(body.getAfterVersion(), body.getVersion());
    TableChanges changes =
        new TableChanges(
            table(body.getTable()),
            new StoreVersion(body.getEra(), body.getAfterVersion()),
            new StoreVersion(body.getEra(), body.getVersion()),
            List.of());
    return new TableConfirmation(changes, Integer.toUnsignedLong(body.getAgeMillis()));
  }

  private static void checkVersions(long after, long version) {
    if (after < 0 || version < after) {
      throw new IllegalArgumentException("changes from version " + after + " to " + version);
    }
  }

  private static StoredRowBody row(StoredRow row) {
    return StoredRowBody.newBuilder()
        .setKey(row.key())
        .setValue(row.value())
        .setVersion(row.version())
        .setDeleted(row.deleted())
        .build();
  }

  private static CatalogTableCode code(CatalogTable table) {
    return switch (table) {
      case OPERATOR_DOCUMENTS -> CatalogTableCode.OPERATOR_DOCUMENTS;
      case REGISTRATIONS -> CatalogTableCode.REGISTRATIONS;
    };
  }

  private static CatalogTable table(CatalogTableCode code) {
    return switch (code) {
      case OPERATOR_DOCUMENTS -> CatalogTable.OPERATOR_DOCUMENTS;
      case REGISTRATIONS -> CatalogTable.REGISTRATIONS;
      case UNRECOGNIZED -> throw new IllegalArgumentException("unknown table");
    };
  }
}
