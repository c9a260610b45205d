package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** An upstream that accepts grants by fencing token and holds the keys for the granted time. */
final class FakeUpstream {
  /** Factor by which its slow clock lengthens each hold time. */
  private static final double SLOW_CLOCK_FACTOR = 1.02;

  private record HeldRange(KeyRange range, long fencingToken, long untilMillis) {}

  final UpstreamRegistration registration;
  boolean up = true;
  boolean unreachable;
  boolean refusing;
  private final List<HeldRange> heldRanges = new ArrayList<>();
  private final List<HeldRange> acceptedGrants = new ArrayList<>();
  private int handovers;

  FakeUpstream(UpstreamRegistration registration) {
    this.registration = registration;
  }

  OrderResult grant(long nowMillis, long arrivedMillis, KeyEffect.Grant grant) {
    boolean fenced =
        acceptedGrants.stream()
            .filter(accepted -> overlaps(accepted.range(), grant.range()))
            .anyMatch(accepted -> accepted.fencingToken() > grant.fencingToken());
    if (fenced) {
      return new OrderResult.Fenced();
    }
    long untilMillis = arrivedMillis + (long) (grant.holdMillis() * SLOW_CLOCK_FACTOR);
    HeldRange held = new HeldRange(grant.range(), grant.fencingToken(), untilMillis);
    acceptedGrants.add(held);
    removeHeld(grant.range());
    heldRanges.add(held);
    return new OrderResult.Done(Optional.empty());
  }

  OrderResult release(KeyEffect.Release release) {
    removeHeld(release.range());
    return new OrderResult.Done(Optional.of("handover-" + handovers++));
  }

  /** Returns the ranges of the grants with a greater fencing token that it has carried out. */
  List<KeyRange> rangesAcceptedAbove(long fencingToken) {
    return acceptedGrants.stream()
        .filter(accepted -> accepted.fencingToken() > fencingToken)
        .map(HeldRange::range)
        .distinct()
        .toList();
  }

  boolean holds(long nowMillis, int key) {
    return up
        && heldRanges.stream()
            .anyMatch(held -> held.range().contains(key) && nowMillis < held.untilMillis());
  }

  private void removeHeld(KeyRange range) {
    List<HeldRange> kept = new ArrayList<>();
    heldRanges.forEach(
        held -> {
          if (held.range().first() < range.first()) {
            int last = Math.min(held.range().last(), range.first() - 1);
            kept.add(
                new HeldRange(
                    new KeyRange(held.range().first(), last),
                    held.fencingToken(),
                    held.untilMillis()));
          }
          if (held.range().last() > range.last()) {
            int first = Math.max(held.range().first(), range.last() + 1);
            kept.add(
                new HeldRange(
                    new KeyRange(first, held.range().last()),
                    held.fencingToken(),
                    held.untilMillis()));
          }
        });
    heldRanges.clear();
    heldRanges.addAll(kept);
  }

  private static boolean overlaps(KeyRange a, KeyRange b) {
    return a.first() <= b.last() && b.first() <= a.last();
  }
}
