package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.StoreVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * A table of an era before the store's, and the owners as a host was last told.
 *
 * <p>Later tables may be lost: the store was restored, or a write of the earlier era was applied
 * late. The owners that a host was told are usually later than those of the table; a host that
 * missed changes may know earlier ones.
 */
final class RestoredTable {
  private final KeyTable table;
  private final KeyOwnerCache toldOwners;
  private final Catalog catalog;

  RestoredTable(KeyTable table, KeyOwnerCache toldOwners, Catalog catalog) {
    this.table = table;
    this.toldOwners = toldOwners;
    this.catalog = catalog;
  }

  /** Returns whether a table that was read at a version of the store is of an earlier era. */
  static boolean predates(KeyTable table, StoreVersion version) {
    return table.era() < version.era();
  }

  /**
   * Returns the assignments to go on with, each to the owner that a host was told if it is still
   * registered, otherwise to that of the table; empty if no owner is known.
   *
   * <p>Keys without either go to the owner of the keys beside them, so that all other keys stay
   * where they are.
   */
  List<KeyAssignment> assignments() {
    TreeSet<Integer> firstKeys = new TreeSet<>(toldOwners.firstKeys());
    table.assignments().forEach(assignment -> firstKeys.add(assignment.range().first()));
    firstKeys.add(0);
    List<KeyAssignment> assignments = new ArrayList<>();
    for (int first : firstKeys) {
      Integer next = firstKeys.higher(first);
      int last = next == null ? KeyRange.MAX_KEY : next - 1;
      Optional<KeyAssignment> known = assignment(new KeyRange(first, last));
      if (known.isPresent() && assignments.isEmpty()) {
        assignments.add(known.get().withRange(new KeyRange(0, last)));
      } else if (known.isPresent()) {
        assignments.add(known.get());
      } else if (!assignments.isEmpty()) {
        KeyAssignment before = assignments.remove(assignments.size() - 1);
        assignments.add(before.withRange(new KeyRange(before.range().first(), last)));
      }
    }
    return assignments;
  }

  /**
   * Returns the assignment of a range to the owner that hosts were told, without the stored
   * hand-over, which a lost table may have completed: a grant to the previous owner could overlap
   * with one that the owner got since. Without such an owner, the stored one is used.
   */
  private Optional<KeyAssignment> assignment(KeyRange range) {
    return toldOwners
        .owner(range.first())
        .flatMap(catalog::upstream)
        .map(told -> new KeyAssignment(range, KeyOwner.of(told, 0), Optional.empty()))
        .or(() -> stored(range));
  }

  /** Returns the stored assignment of a range, whose owner may have been granted it since. */
  private Optional<KeyAssignment> stored(KeyRange range) {
    return table.assignments().stream()
        .filter(assignment -> assignment.range().contains(range.first()))
        .findFirst()
        .map(found -> new KeyAssignment(range, found.owner(), found.previousOwner(), false));
  }
}
