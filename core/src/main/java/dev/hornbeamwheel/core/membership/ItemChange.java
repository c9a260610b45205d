package dev.hornbeamwheel.core.membership;

/** A newer version of an item on its way to a member. */
public sealed interface ItemChange {
  /** Returns the item that changes. */
  ItemKey key();

  /** The item itself. */
  record Whole(Item item) implements ItemChange {
    @Override
    public ItemKey key() {
      return item.key();
    }
  }

  /**
   * The part in which the item differs from an earlier version.
   *
   * @param base the version that the receiver must hold
   * @param target the version that results
   * @param ageMillis age of the resulting item
   * @param prefix bytes kept at the start
   * @param suffix bytes kept at the end
   * @param middle bytes between them
   */
  record Patch(
      ItemVersion base, ItemVersion target, long ageMillis, int prefix, int suffix, Content middle)
      implements ItemChange {
    @Override
    public ItemKey key() {
      return target.key();
    }
  }
}
