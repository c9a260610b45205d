package dev.hornbeamwheel.standins.platform;

import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.standins.faults.ListedHost;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** The list of hosts, which shows each change after a lag. */
final class LaggingHosts {
  private final Clock clock;
  private final long lagMillis;
  private final Deque<Change> pending = new ArrayDeque<>();
  private List<ListedHost> visible;

  LaggingHosts(Clock clock, long lagMillis, List<ListedHost> hosts) {
    this.clock = clock;
    this.lagMillis = lagMillis;
    this.visible = List.copyOf(hosts);
  }

  synchronized void change(List<ListedHost> hosts) {
    pending.add(new Change(clock.millis() + lagMillis, List.copyOf(hosts)));
  }

  synchronized List<ListedHost> visible() {
    while (!pending.isEmpty() && pending.peek().visibleAtMillis() <= clock.millis()) {
      visible = pending.remove().hosts();
    }
    return visible;
  }

  private record Change(long visibleAtMillis, List<ListedHost> hosts) {}
}
