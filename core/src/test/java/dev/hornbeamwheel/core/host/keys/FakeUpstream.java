package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** An upstream that takes grants as the platform's pages say: by fence, for a time. */
final class FakeUpstream {
  /** Its clock may be slower than ours by two in a hundred. */
  private static final double SLOW_CLOCK = 1.02;

  private record Hold(KeyRange range, long fence, long until) {}

  final UpstreamRegistration entry;
  boolean up = true;
  boolean cut;
  boolean refusing;
  private final List<Hold> holds = new ArrayList<>();
  private final List<Hold> seen = new ArrayList<>();
  private int handovers;

  FakeUpstream(UpstreamRegistration entry) {
    this.entry = entry;
  }

  OrderResult grant(long nowMillis, long arrivedMillis, KeyEffect.Grant grant) {
    boolean fenced =
        seen.stream()
            .filter(known -> overlaps(known.range(), grant.range()))
            .anyMatch(known -> known.fence() > grant.fencingToken());
    if (fenced) {
      return new OrderResult.Fenced();
    }
    long until = arrivedMillis + (long) (grant.holdMillis() * SLOW_CLOCK);
    Hold hold = new Hold(grant.range(), grant.fencingToken(), until);
    seen.add(hold);
    cutOut(grant.range());
    holds.add(hold);
    return new OrderResult.Done(Optional.empty());
  }

  OrderResult release(KeyEffect.Release release) {
    cutOut(release.range());
    return new OrderResult.Done(Optional.of("handover-" + handovers++));
  }

  boolean holds(long nowMillis, int key) {
    return up
        && holds.stream().anyMatch(hold -> hold.range().contains(key) && nowMillis < hold.until());
  }

  private void cutOut(KeyRange range) {
    List<Hold> kept = new ArrayList<>();
    holds.forEach(
        hold -> {
          if (hold.range().first() < range.first()) {
            int last = Math.min(hold.range().last(), range.first() - 1);
            kept.add(
                new Hold(new KeyRange(hold.range().first(), last), hold.fence(), hold.until()));
          }
          if (hold.range().last() > range.last()) {
            int first = Math.max(hold.range().first(), range.last() + 1);
            kept.add(
                new Hold(new KeyRange(first, hold.range().last()), hold.fence(), hold.until()));
          }
        });
    holds.clear();
    holds.addAll(kept);
  }

  private static boolean overlaps(KeyRange a, KeyRange b) {
    return a.first() <= b.last() && b.first() <= a.last();
  }
}
