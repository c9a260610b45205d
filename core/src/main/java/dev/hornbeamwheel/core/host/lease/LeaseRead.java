package dev.hornbeamwheel.core.host.lease;

import dev.hornbeamwheel.core.host.catalog.EraNumber;
import dev.hornbeamwheel.core.host.catalog.StoreVersion;
import java.util.Optional;

/**
 * The result of reading the lease row.
 *
 * @param row the row, or empty if there is none
 * @param version version of the row; its number is zero if there is none
 * @param storeMillis time on the store's clock when it responded
 */
public record LeaseRead(Optional<LeaseRow> row, StoreVersion version, long storeMillis) {
  /**
   * Returns whether the row says nothing about the current holder: it is of an earlier era, so that
   * later rows may be lost. Such a row was restored, or a write of an earlier era was applied late.
   */
  boolean outdated() {
    return version.era() > row.map(LeaseRow::term).map(EraNumber::eraOf).orElse(0L);
  }
}
