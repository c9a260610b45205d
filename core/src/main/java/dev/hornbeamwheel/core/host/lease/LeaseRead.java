package dev.hornbeamwheel.core.host.lease;

import java.util.Optional;

/**
 * A reading of the lease row.
 *
 * @param row the row, or empty if there is none
 * @param version version of the row; zero if there is none
 * @param storeMillis the store's clock when it answered
 */
public record LeaseRead(Optional<LeaseRow> row, long version, long storeMillis) {}
