package dev.hornbeamwheel.core.host.capacity;

import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The learned limits that are lower than the slots of their upstreams, and their changes. */
public final class LoweredLimits {
  /** Maximum number of limits kept and of changes between two reads. */
  private static final int MAX_ENTRIES = 300;

  private final Map<UpstreamId, Integer> limits = new HashMap<>();
  private final List<LimitChange> changes = new ArrayList<>();

  /** Returns a registry without limits. */
  public static LoweredLimits create() {
    return new LoweredLimits();
  }

  private LoweredLimits() {}

  /** Records the limit of an upstream, which is not lowered if it is equal to the slots. */
  public void update(UpstreamId upstream, int limit, int slots) {
    int before = Math.min(slots, limits.getOrDefault(upstream, slots));
    if (limit == before || (limits.size() >= MAX_ENTRIES && before == slots)) {
      return;
    }
    if (limit < slots) {
      limits.put(upstream, limit);
    } else {
      limits.remove(upstream);
    }
    if (changes.size() < MAX_ENTRIES) {
      changes.add(new LimitChange(upstream, before, limit, slots));
    }
  }

  /** Removes the limits of upstreams that no longer exist. */
  public void removeIf(Predicate<UpstreamId> gone) {
    limits.keySet().removeIf(gone);
  }

  /** Returns the limits by upstream. */
  public Map<UpstreamId, Integer> limits() {
    return Map.copyOf(limits);
  }

  /** Returns and forgets the changes since the last call, oldest first. */
  public List<LimitChange> drainChanges() {
    List<LimitChange> drained = List.copyOf(changes);
    changes.clear();
    return drained;
  }
}
