package dev.hornbeamwheel.core.virtual;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/** Carries messages between places; drops, delays, doubles and so reorders them. */
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

  /** Sets what happens to each message. */
  public void setFaults(int newLossPercent, int newDoublePercent, int newMaxDelayMillis) {
    lossPercent = newLossPercent;
    duplicatePercent = newDoublePercent;
    maxDelayMillis = newMaxDelayMillis;
  }

  /** Cuts one direction between two places; a place may stand for many processes. */
  public void cut(String from, String to) {
    cuts.add(new Cut(from, to));
  }

  /** Ends all cuts and faults. */
  public void heal() {
    cuts.clear();
    setFaults(0, 0, 3);
  }

  /** Returns whether nothing may pass from one process to another. */
  public boolean isCut(Set<String> from, Set<String> to) {
    return cuts.stream().anyMatch(cut -> from.contains(cut.from) && to.contains(cut.to));
  }

  /** Delivers a message later, perhaps never and perhaps twice. */
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
