package dev.hornbeamwheel.core.limits;

import java.util.ArrayDeque;
import java.util.Deque;

/** What one start of a router may hold of one contract, as its arbiter counts it. */
final class Holding {
  private final Deque<Outstanding> outstanding = new ArrayDeque<>(2);
  private Share held = Share.NONE;
  private Share wanted = Share.NONE;
  private Share counted = Share.NONE;
  private long lastSequence;
  private long heardMillis;

  /**
   * Takes note of a claim.
   *
   * @return whether it is newer than all earlier ones
   */
  boolean claim(long sequence, long applied, LimitsMessage.Claim claim, long nowMillis) {
    if (sequence <= lastSequence) {
      return false;
    }
    lastSequence = sequence;
    heardMillis = nowMillis;
    held = claim.held();
    wanted = claim.wanted();
    outstanding.removeIf(grant -> grant.sequence <= applied);
    recount();
    return true;
  }

  void granted(Share share) {
    outstanding.addLast(new Outstanding(lastSequence, share));
    recount();
  }

  /** Stops counting rate and burst of a lapsed lease; its requests may still be in flight. */
  void lapse() {
    int concurrency = counted.concurrency();
    outstanding.clear();
    held = new Share(0, 0, concurrency);
    wanted = Share.NONE;
    recount();
  }

  Share counted() {
    return counted;
  }

  Share held() {
    return held;
  }

  Share wanted() {
    return wanted;
  }

  long heardMillis() {
    return heardMillis;
  }

  private void recount() {
    counted = outstanding.stream().map(Outstanding::share).reduce(held, Share::max);
  }

  private record Outstanding(long sequence, Share share) {}
}
