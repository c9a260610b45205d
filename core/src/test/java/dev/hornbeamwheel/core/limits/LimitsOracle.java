package dev.hornbeamwheel.core.limits;

import dev.hornbeamwheel.core.config.Contract;
import dev.hornbeamwheel.core.virtual.VirtualTime;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Judges the admitted requests of one contract over the whole fleet, by true time. */
final class LimitsOracle {
  private static final long SECOND_MILLIS = 1000;

  private final VirtualTime time;
  private final Contract contract;
  private final Deque<Long> lastSecond = new ArrayDeque<>();
  private final List<String> violations = new ArrayList<>();
  private long admitted;
  private int inFlight;

  LimitsOracle(VirtualTime time, Contract contract) {
    this.time = time;
    this.contract = contract;
  }

  void admitted() {
    long now = time.nowMillis();
    admitted++;
    inFlight++;
    lastSecond.addLast(now);
    while (lastSecond.peekFirst() <= now - SECOND_MILLIS) {
      lastSecond.removeFirst();
    }
    if (lastSecond.size() > contract.ratePerSecond() + contract.burst()) {
      violations.add(lastSecond.size() + " admitted in the second up to " + now);
    }
    if (inFlight > contract.concurrency()) {
      violations.add(inFlight + " in flight at " + now);
    }
  }

  void finished() {
    inFlight--;
  }

  void divided(SharesRow row) {
    Share whole = Share.of(contract.ratePerSecond(), contract.burst(), contract.concurrency());
    Share total = row.division(contract.id()).total();
    if (!total.fitsIn(whole)) {
      violations.add(total + " divided at " + time.nowMillis());
    }
  }

  long admittedSoFar() {
    return admitted;
  }

  List<String> violations() {
    return violations;
  }
}
