package dev.hornbeamwheel.standins.platform;

import dev.hornbeamwheel.standins.faults.Fault;
import dev.hornbeamwheel.standins.faults.Fault.DownMode;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The faults of the platform that are in force. */
final class PlatformFaults {
  private static final String ALL = "all";

  private final Map<String, DownMode> down = new ConcurrentHashMap<>();
  private final AtomicInteger writeAnswersToLose = new AtomicInteger();
  private final LaggingHosts hosts;
  private volatile long delayMillis;

  PlatformFaults(LaggingHosts hosts) {
    this.hosts = hosts;
  }

  void apply(Fault.OfPlatform fault) {
    if (fault instanceof Fault.PlatformDown order) {
      down.put(order.entrance(), order.mode());
    } else if (fault instanceof Fault.PlatformUp order) {
      up(order.entrance());
    } else if (fault instanceof Fault.PlatformSlow order) {
      delayMillis = order.millis();
    } else if (fault instanceof Fault.LoseWriteAnswers order) {
      writeAnswersToLose.set(order.count());
    } else if (fault instanceof Fault.ListHosts order) {
      hosts.change(order.hosts());
    }
  }

  /** Returns how an entrance is down; empty if it is up. */
  Optional<DownMode> down(String entrance) {
    DownMode everywhere = down.get(ALL);
    return Optional.ofNullable(everywhere != null ? everywhere : down.get(entrance));
  }

  long delayMillis() {
    return delayMillis;
  }

  /** Returns whether the answer to the write that is being made gets lost. */
  boolean losesWriteAnswer() {
    return writeAnswersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
  }

  private void up(String entrance) {
    if (entrance.equals(ALL)) {
      down.clear();
      writeAnswersToLose.set(0);
    } else {
      down.remove(entrance);
    }
  }
}
