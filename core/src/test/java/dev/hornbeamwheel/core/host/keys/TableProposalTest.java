package dev.hornbeamwheel.core.host.keys;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests which owners a proposed table names. */
final class TableProposalTest {
  private static final KeyRange KEYS = new KeyRange(0, KeyRange.MAX_KEY);

  private static UpstreamRegistration upstream(String id) {
    return new UpstreamRegistration(
        new UpstreamIncarnation(UpstreamId.of(id), 1),
        ServiceId.of("stock-ledger"),
        new Address("10.0.0.1", 80),
        DataCentreId.of("dc-1"),
        2,
        false,
        0);
  }

  // Guards against two holders when the next coordinator reads a table that does not name an owner,
  // because its first grant was sent only while the table was written.
  @Test
  void namesThePreviousOwnerOfARangeThatHasNotBeenGrantedYet() {
    KeyOwner owner = KeyOwner.of(upstream("i-1"), 1);
    OwnedRange range = OwnedRange.neverHeld(new KeyAssignment(KEYS, owner, Optional.empty()));
    KeyMove move = new KeyMove(KEYS, upstream("i-2"), "owner unfit");

    KeyTable table = TableProposal.withMoves(0, List.of(range), List.of(move), 2).table();

    assertThat(table.assignments())
        .extracting(KeyAssignment::previousOwner)
        .containsExactly(Optional.of(owner));
  }
}
