package dev.hornbeamwheel.core.host.catalog;

/**
 * A row of a table in the store.
 *
 * @param key key within its table
 * @param value the document; malformed UTF-8 is replaced, and a value that is not Base64 is empty
 * @param version number of the version of the store at which the row was last changed, within the
 *     era of the response or message that contains the row
 * @param deleted whether the row was deleted
 */
public record StoredRow(String key, String value, long version, boolean deleted) {}
