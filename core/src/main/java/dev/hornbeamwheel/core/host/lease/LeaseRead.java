package dev.hornbeamwheel.core.host.lease;

import java.util.Optional;

/**
 * The result of reading the lease row.
 *
 * @param row the row, or empty if there is none
 * @param version version of the row; zero if there is none
 * @param storeMillis time on the store's clock when it responded
 */
public record LeaseRead(Optional<LeaseRow> row, long version, long storeMillis) {}
