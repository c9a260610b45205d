package dev.hornbeamwheel.core.host.keys;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests the bookkeeping of in-flight orders while ranges are split and merged. */
final class InFlightOrdersTest {
  private static final KeyOwner OWNER = owner("i-1");
  private static final KeyOwner OTHER = owner("i-2");

  private final InFlightOrders orders = new InFlightOrders();

  private static KeyOwner owner(String id) {
    return new KeyOwner(
        new UpstreamIncarnation(UpstreamId.of(id), 1), new Address("10.0.0.1", 80), 1);
  }

  private static KeyAssignment assignment(int first, int last) {
    return new KeyAssignment(new KeyRange(first, last), OWNER, Optional.empty());
  }

  private OwnedRange granted(long orderId, int first, int last) {
    OwnedRange range =
        OwnedRange.inherited(assignment(first, last), GrantTracker.grantedUntil(0, 0));
    orders.add(orderId, range, Optional.of(range.ownerGrants()));
    range.ownerGrants().sent(0, orderId, OWNER.fencingToken(), 3_000);
    return range;
  }

  // Guards against a scan of all in-flight orders for each range that is due.
  @Test
  void ordersAreCountedByTheOwnerOfTheirRange() {
    granted(1, 0, 9);
    orders.add(2, granted(3, 10, 19), Optional.empty());
    assertThat(orders.count(OWNER.incarnation())).isEqualTo(3);
    assertThat(orders.count(OTHER.incarnation())).isZero();

    assertThat(orders.remove(2)).isPresent();
    assertThat(orders.remove(2)).isEmpty();
    assertThat(orders.count(OWNER.incarnation())).isEqualTo(2);
  }

  // Guards against an update of the trackers of all ranges for each answer.
  @Test
  void anAnswerConcernsOnlyTheTrackersWithItsGrantInFlight() {
    OwnedRange first = granted(1, 0, 9);
    granted(2, 10, 19);

    assertThat(orders.grantTrackers(1)).containsExactly(first.ownerGrants());
  }

  // Guards against keys that can never be granted to another upstream, because the tracker of one
  // part of a split range never learns that its grant was answered.
  @Test
  void allPartsOfAMergedAndSplitRangeGetTheAnswer() {
    OwnedRange first = granted(1, 0, 9);
    OwnedRange second = granted(2, 10, 19);
    OwnedRange merged = OwnedRange.merged(assignment(0, 19), List.of(first, second));
    OwnedRange left = merged.part(new KeyRange(0, 9));
    OwnedRange right = merged.part(new KeyRange(10, 19));

    orders.reindexGrants(Stream.of(left, right));
    orders.grantTrackers(1).forEach(tracker -> tracker.unanswered(700, 1));
    orders.grantTrackers(2).forEach(tracker -> tracker.answered(5, 2, true));

    assertThat(left.ownerGrants().mayBeInFlight(1_000)).isFalse();
    assertThat(right.ownerGrants().mayBeInFlight(1_000)).isFalse();
  }
}
