package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.virtual.VirtualTime;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/** A network between members that drops, delays, duplicates and reorders messages. */
final class FakeNetwork {
  private final VirtualTime time;
  private final Random random;
  private final Set<MemberId> cut = new HashSet<>();
  double dropShare;
  double duplicateShare;
  int jitterMillis = 2;

  FakeNetwork(VirtualTime time, Random random) {
    this.time = time;
    this.random = random;
  }

  void cut(MemberId member, long millis) {
    cut.add(member);
    time.after(millis, () -> cut.remove(member));
  }

  boolean isCut(MemberId member) {
    return cut.contains(member);
  }

  void deliver(MemberId from, MemberId to, Runnable arrival) {
    boolean lost = cut.contains(from) || cut.contains(to) || random.nextDouble() < dropShare;
    if (lost) {
      return;
    }
    time.after(1 + random.nextInt(jitterMillis), arrival);
    if (random.nextDouble() < duplicateShare) {
      time.after(1 + random.nextInt(20 * jitterMillis), arrival);
    }
  }
}
