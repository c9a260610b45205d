package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Collection;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The owners of a service's keys as last received from the coordinator; may be stale.
 *
 * <p>During a hand-over this is the previous owner until the new one may be granted the keys.
 */
public final class KeyOwnerCache {
  private final NavigableMap<Integer, UpstreamId> byFirstKey = new TreeMap<>();

  private KeyOwnerCache() {}

  /** Returns a cache without owners. */
  public static KeyOwnerCache empty() {
    return new KeyOwnerCache();
  }

  /** Replaces all owners; each new owner is mapped by the first key of its range. */
  public void replaceAll(Map<Integer, UpstreamId> owners) {
    byFirstKey.clear();
    byFirstKey.putAll(owners);
  }

  /**
   * Updates some owners.
   *
   * @param owners changed owners by the first key of their ranges
   * @param mergedFirstKeys first keys of former ranges that were merged into the preceding range
   */
  public void update(Map<Integer, UpstreamId> owners, Collection<Integer> mergedFirstKeys) {
    byFirstKey.putAll(owners);
    mergedFirstKeys.forEach(byFirstKey::remove);
  }

  /** Returns the first keys of the ranges. */
  Set<Integer> firstKeys() {
    return Set.copyOf(byFirstKey.keySet());
  }

  /** Returns the owner of a key, or empty if unknown. */
  public Optional<UpstreamId> owner(int key) {
    return Optional.ofNullable(byFirstKey.floorEntry(key)).map(Map.Entry::getValue);
  }
}
