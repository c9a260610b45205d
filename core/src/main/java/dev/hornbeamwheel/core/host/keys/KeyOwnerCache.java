package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Collection;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/** The owners of a service's keys as a host was told them; they may have changed since. */
public final class KeyOwnerCache {
  private final NavigableMap<Integer, UpstreamId> byFirstKey = new TreeMap<>();

  private KeyOwnerCache() {}

  /** Returns a map without any owners. */
  public static KeyOwnerCache empty() {
    return new KeyOwnerCache();
  }

  /** Replaces all owners by those told, each under the first key of its range. */
  public void replaceAll(Map<Integer, UpstreamId> owners) {
    byFirstKey.clear();
    byFirstKey.putAll(owners);
  }

  /**
   * Changes some owners.
   *
   * @param owners owners that changed, each under the first key of its range
   * @param joined first keys of former ranges that are part of the range before them
   */
  public void update(Map<Integer, UpstreamId> owners, Collection<Integer> joined) {
    byFirstKey.putAll(owners);
    joined.forEach(byFirstKey::remove);
  }

  /** Returns the owner of a key, or empty if none was told. */
  public Optional<UpstreamId> owner(int key) {
    return Optional.ofNullable(byFirstKey.floorEntry(key)).map(Map.Entry::getValue);
  }
}
