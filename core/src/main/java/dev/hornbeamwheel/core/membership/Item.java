package dev.hornbeamwheel.core.membership;

/**
 * A versioned value that members gossip; of two versions the greater wins.
 *
 * @param key what it is
 * @param version from one
 * @param ageMillis time since it was published, as far as the members that relayed it counted it
 * @param content its bytes
 */
public record Item(ItemKey key, long version, long ageMillis, Content content) {
  /** Returns a freshly published item. */
  public static Item of(ItemKey key, long version, Content content) {
    return new Item(key, version, 0, content);
  }

  /** Returns the version stamp of this item. */
  public ItemVersion stamp() {
    return new ItemVersion(key, version, content.hashCode());
  }
}
