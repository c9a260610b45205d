package dev.hornbeamwheel.core.host.keys;

import java.util.Optional;

/** Counts the keys that get another owner, each as often as that happens. */
final class MovedKeys {
  private Optional<KeyTable> latest = Optional.empty();
  private int count;

  /** Records a table that replaces the one before. */
  void record(KeyTable table) {
    latest.ifPresent(before -> count += changedKeys(before, table));
    latest = Optional.of(table);
  }

  int count() {
    return count;
  }

  private static int changedKeys(KeyTable before, KeyTable after) {
    return before.assignments().stream()
        .flatMapToInt(
            old ->
                after.assignments().stream()
                    .filter(next -> !next.owner().incarnation().equals(old.owner().incarnation()))
                    .mapToInt(next -> commonKeys(old.range(), next.range())))
        .sum();
  }

  private static int commonKeys(KeyRange a, KeyRange b) {
    return Math.max(0, Math.min(a.last(), b.last()) - Math.max(a.first(), b.first()) + 1);
  }
}
