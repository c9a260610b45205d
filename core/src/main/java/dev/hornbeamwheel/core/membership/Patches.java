package dev.hornbeamwheel.core.membership;

import java.util.Arrays;
import java.util.Optional;

/** Makes and applies patches, which carry only the part in which two versions differ. */
final class Patches {
  private Patches() {}

  /** Returns the patch from {@code old} to {@code next}. */
  static ItemChange.Patch between(Item old, Item next) {
    byte[] from = old.content().array();
    byte[] to = next.content().array();
    int shorter = Math.min(from.length, to.length);
    int mismatch = Arrays.mismatch(from, to);
    int prefix = mismatch < 0 ? shorter : Math.min(mismatch, shorter);
    int suffix = 0;
    while (suffix < shorter - prefix
        && from[from.length - 1 - suffix] == to[to.length - 1 - suffix]) {
      suffix++;
    }
    Content middle = Content.wrap(Arrays.copyOfRange(to, prefix, to.length - suffix));
    return new ItemChange.Patch(
        old.stamp(), next.stamp(), next.ageMillis(), prefix, suffix, middle);
  }

  /** Returns the patched item, or nothing if {@code base} is not the version that is meant. */
  static Optional<Item> apply(Item base, ItemChange.Patch patch) {
    byte[] from = base.content().array();
    if (!base.stamp().equals(patch.base()) || patch.prefix() + patch.suffix() > from.length) {
      return Optional.empty();
    }
    byte[] middle = patch.middle().array();
    byte[] to = new byte[patch.prefix() + middle.length + patch.suffix()];
    System.arraycopy(from, 0, to, 0, patch.prefix());
    System.arraycopy(middle, 0, to, patch.prefix(), middle.length);
    System.arraycopy(
        from, from.length - patch.suffix(), to, patch.prefix() + middle.length, patch.suffix());
    Item item =
        new Item(patch.key(), patch.target().version(), patch.ageMillis(), Content.wrap(to));
    return Optional.of(item).filter(result -> result.stamp().equals(patch.target()));
  }
}
