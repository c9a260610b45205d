package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** An upstream that takes grants as the platform's pages say: by fence, for a time. */
final class FakeUpstream {
  /** Its clock may be slower than ours by two in a hundred. */
  private static final double SLOW_CLOCK_FACTOR = 1.02;

  private record HeldRange(KeyRange range, long fencingToken, long untilMillis) {}

  final UpstreamRegistration registration;
  boolean up = true;
  boolean unreachable;
  boolean refusing;
  private final List<HeldRange> holds = new ArrayList<>();
  private final List<HeldRange> acceptedGrants = new ArrayList<>();
  private int handovers;

  FakeUpstream(UpstreamRegistration entry) {
    this.registration = entry;
  }

  OrderResult grant(long nowMillis, long arrivedMillis, KeyEffect.Grant grant) {
    boolean fenced =
        acceptedGrants.stream()
            .filter(known -> overlaps(known.range(), grant.range()))
            .anyMatch(known -> known.fencingToken() > grant.fencingToken());
    if (fenced) {
      return new OrderResult.Fenced();
    }
    long until = arrivedMillis + (long) (grant.holdMillis() * SLOW_CLOCK_FACTOR);
    HeldRange hold = new HeldRange(grant.range(), grant.fencingToken(), until);
    acceptedGrants.add(hold);
    removeHeld(grant.range());
    holds.add(hold);
    return new OrderResult.Done(Optional.empty());
  }

  OrderResult release(KeyEffect.Release release) {
    removeHeld(release.range());
    return new OrderResult.Done(Optional.of("handover-" + handovers++));
  }

  boolean holds(long nowMillis, int key) {
    return up
        && holds.stream()
            .anyMatch(hold -> hold.range().contains(key) && nowMillis < hold.untilMillis());
  }

  private void removeHeld(KeyRange range) {
    List<HeldRange> kept = new ArrayList<>();
    holds.forEach(
        hold -> {
          if (hold.range().first() < range.first()) {
            int last = Math.min(hold.range().last(), range.first() - 1);
            kept.add(
                new HeldRange(
                    new KeyRange(hold.range().first(), last),
                    hold.fencingToken(),
                    hold.untilMillis()));
          }
          if (hold.range().last() > range.last()) {
            int first = Math.max(hold.range().first(), range.last() + 1);
            kept.add(
                new HeldRange(
                    new KeyRange(first, hold.range().last()),
                    hold.fencingToken(),
                    hold.untilMillis()));
          }
        });
    holds.clear();
    holds.addAll(kept);
  }

  private static boolean overlaps(KeyRange a, KeyRange b) {
    return a.first() <= b.last() && b.first() <= a.last();
  }
}
