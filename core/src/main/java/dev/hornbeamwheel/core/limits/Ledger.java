package dev.hornbeamwheel.core.limits;

import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;

/** All holdings of one contract in one data centre. */
final class Ledger {
  private final Map<Holder, Holding> holdings = new HashMap<>();
  private final ReuseRule reuseRule;
  private final long requestLifetimeMillis;
  private Share counted = Share.NONE;
  private long targetsMillis = Long.MIN_VALUE / 2;
  private Share targetCap = Share.NONE;
  private Share level = Share.NONE;
  private Share wanted = Share.NONE;

  Ledger(ReuseRule reuseRule, long requestLifetimeMillis) {
    this.reuseRule = reuseRule;
    this.requestLifetimeMillis = requestLifetimeMillis;
  }

  /** Returns the sum of all that may be held. */
  Share counted() {
    return counted;
  }

  /** Returns the sum of all that is wanted. */
  Share wanted() {
    return holdings.values().stream().map(Holding::wanted).reduce(Share.NONE, Share::plus);
  }

  /**
   * Answers a claim with a share that keeps the sum of all holdings within the cap.
   *
   * @return nothing if a newer claim of the holder has been answered already
   */
  Optional<Share> answer(
      Holder holder, LimitsMessage.Request request, LimitsMessage.Claim claim, Limit limit) {
    Holding holding = holdings.computeIfAbsent(holder, key -> new Holding());
    Share before = holding.counted();
    if (!holding.claim(request.sequence(), request.applied(), claim, limit.nowMillis())) {
      return Optional.empty();
    }
    counted = counted.minus(before);
    Share granted = holding.wanted().isNone() ? Share.NONE : share(holding, limit);
    holding.granted(granted);
    counted = counted.plus(holding.counted());
    return Optional.of(granted);
  }

  /** Drops what has surely lapsed. */
  void expire(long nowMillis) {
    Iterator<Holding> all = holdings.values().iterator();
    while (all.hasNext()) {
      Holding holding = all.next();
      long silentMillis = nowMillis - holding.heardMillis();
      if (!reuseRule.surelyLapsed(silentMillis)) {
        continue;
      }
      counted = counted.minus(holding.counted());
      holding.lapse();
      if (silentMillis >= LimitsTiming.SURELY_LAPSED_MILLIS + requestLifetimeMillis
          || holding.counted().isNone()) {
        all.remove();
      } else {
        counted = counted.plus(holding.counted());
      }
    }
  }

  private Share share(Holding holding, Limit limit) {
    computeTargets(limit);
    Share target = target(holding.wanted(), limit.cap());
    Share rateFrom = limit.renewRate() ? holding.held() : target;
    Share concurrencyFrom = limit.renewConcurrency() ? holding.held() : target;
    Share granted =
        new Share(rateFrom.milliRate(), rateFrom.burst(), concurrencyFrom.concurrency())
            .min(limit.cap().minus(counted));
    // A share without room for a single request admits nothing and would only be lost.
    return granted.burst() >= 1 && granted.concurrency() >= 1 ? granted : Share.NONE;
  }

  private Share target(Share claim, Share cap) {
    return new Share(
        spread(claim.milliRate(), level.milliRate(), wanted.milliRate(), cap.milliRate()),
        Math.max(1, spread(claim.burst(), level.burst(), wanted.burst(), cap.burst())),
        (int)
            Math.max(
                1,
                spread(
                    claim.concurrency(),
                    level.concurrency(),
                    wanted.concurrency(),
                    cap.concurrency())));
  }

  /** Returns the fair part, and half of the rest in proportion to what is wanted. */
  private static long spread(long claim, long level, long sum, long cap) {
    long rest = Math.max(0, cap - sum) / 2;
    long fair = Math.min(claim, level);
    return sum == 0 ? 0 : fair + (long) ((double) rest * claim / sum);
  }

  private void computeTargets(Limit limit) {
    boolean current =
        limit.nowMillis() - targetsMillis < LimitsTiming.TARGET_MILLIS
            && limit.cap().equals(targetCap);
    if (current) {
      return;
    }
    targetsMillis = limit.nowMillis();
    targetCap = limit.cap();
    wanted = wanted();
    level =
        new Share(
            level(Share::milliRate, targetCap.milliRate()),
            level(Share::burst, targetCap.burst()),
            (int) level(Share::concurrency, targetCap.concurrency()));
  }

  private long level(ToLongFunction<Share> part, long cap) {
    return WaterFill.level(
        holdings.values().stream().mapToLong(h -> part.applyAsLong(h.wanted())).toArray(), cap);
  }

  /** One start of a router. */
  record Holder(MemberId router, Incarnation incarnation) {}

  /**
   * What bounds an answer.
   *
   * @param cap what the data centre may use
   * @param renewRate whether holders get no more rate and burst than they hold
   * @param renewConcurrency whether holders get no more concurrency than they hold
   * @param nowMillis the arbiter's time
   */
  record Limit(Share cap, boolean renewRate, boolean renewConcurrency, long nowMillis) {}
}
