package dev.hornbeamwheel.core.virtual;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * Delivers messages between simulated processes; drops, delays and duplicates them, which also
 * reorders them.
 */
public final class VirtualNetwork {
  private final VirtualTime time;
  private final Random random;
  private final Set<Cut> cuts = new HashSet<>();
  private int lossPercent;
  private int duplicatePercent;
  private int maxDelayMillis = 3;

  /** Returns a network without faults. */
  public VirtualNetwork(VirtualTime time, long seed) {
    this.time = time;
    this.random = new Random(seed);
  }

  /** Sets the loss, duplication and delay of messages. */
  public void setFaults(int newLossPercent, int newDoublePercent, int newMaxDelayMillis) {
    lossPercent = newLossPercent;
    duplicatePercent = newDoublePercent;
    maxDelayMillis = newMaxDelayMillis;
  }

  /** Cuts one direction between two names; a name may stand for several processes. */
  public void cut(String from, String to) {
    cuts.add(new Cut(from, to));
  }

  /** Removes all cuts and faults. */
  public void heal() {
    cuts.clear();
    setFaults(0, 0, 3);
  }

  /** Returns whether one process cannot reach another; each is given with all its names. */
  public boolean isCut(Set<String> from, Set<String> to) {
    return cuts.stream().anyMatch(cut -> from.contains(cut.from) && to.contains(cut.to));
  }

  /** Delivers a message after a delay; it may be lost or delivered twice. */
  public void send(Set<String> from, Set<String> to, Runnable delivery) {
    if (isCut(from, to) || random.nextInt(100) < lossPercent) {
      return;
    }
    time.after(1 + random.nextInt(maxDelayMillis), delivery);
    if (random.nextInt(100) < duplicatePercent) {
      time.after(1 + random.nextInt(maxDelayMillis * 5), delivery);
    }
  }

  private record Cut(String from, String to) {}
}
