package dev.hornbeamwheel.core.membership;

/**
 * Which version of an item a member holds.
 *
 * @param key the item
 * @param version its version; zero stands for none
 * @param contentHash hash of its content, which orders two items of the same version
 */
public record ItemVersion(ItemKey key, long version, int contentHash) {
  /** Returns the stamp of an item that is not held. */
  public static ItemVersion none(ItemKey key) {
    return new ItemVersion(key, 0, 0);
  }

  /** Returns whether this version overrides the other one. */
  public boolean isAfter(ItemVersion other) {
    return version != other.version
        ? version > other.version
        : Integer.compare(contentHash, other.contentHash) > 0;
  }
}
