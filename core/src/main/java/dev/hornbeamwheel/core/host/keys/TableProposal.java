package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamEntry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A table that is to be written, and how it follows from the present ranges; immutable. */
final class TableProposal {
  /** A range of the new table: its present state, and the new assignment if it moves. */
  private record Part(OwnedRange source, KeyRange range, Optional<KeyAssignment> moved) {
    KeyAssignment assignment() {
      return moved.orElseGet(() -> source.part(range).assignment());
    }

    OwnedRange apply() {
      return moved.map(source::movedTo).orElseGet(() -> source.part(range));
    }
  }

  private final long nextFence;
  private final List<Part> parts;

  private TableProposal(long nextFence, List<Part> parts) {
    this.nextFence = nextFence;
    this.parts = parts;
  }

  /** Returns a proposal without any keys. */
  static TableProposal none() {
    return new TableProposal(1, List.of());
  }

  /** Returns the first owners of keys that nobody ever held. */
  static TableProposal first(Map<KeyRange, UpstreamEntry> owners, long fence) {
    List<Part> parts =
        owners.entrySet().stream()
            .sorted(Comparator.comparingInt(entry -> entry.getKey().first()))
            .map(
                entry ->
                    new KeyAssignment(
                        entry.getKey(), KeyOwner.of(entry.getValue(), fence), Optional.empty()))
            .map(
                assignment ->
                    new Part(
                        OwnedRange.unheld(assignment), assignment.range(), Optional.of(assignment)))
            .toList();
    return new TableProposal(fence + 1, parts);
  }

  /** Returns the ranges with some of them moved, under a new fencing token. */
  static TableProposal moving(List<OwnedRange> ranges, List<KeyMove> moves, long fence) {
    List<Part> parts =
        ranges.stream().flatMap(range -> split(range, moves, fence).stream()).toList();
    return new TableProposal(moves.isEmpty() ? fence : fence + 1, parts);
  }

  /** Returns the table as it is to lie in the store. */
  KeyTable table() {
    return new KeyTable(nextFence, parts.stream().map(Part::assignment).toList());
  }

  /** Returns the ranges once the table is written, from their state at that moment. */
  List<OwnedRange> apply() {
    return parts.stream().map(Part::apply).toList();
  }

  int size() {
    return parts.size();
  }

  private static List<Part> split(OwnedRange range, List<KeyMove> moves, long fence) {
    List<KeyMove> here =
        moves.stream()
            .filter(move -> range.range().contains(move.range().first()))
            .sorted(Comparator.comparingInt(move -> move.range().first()))
            .toList();
    List<Part> parts = new ArrayList<>();
    int next = range.range().first();
    for (KeyMove move : here) {
      if (move.range().first() > next) {
        parts.add(kept(range, next, move.range().first() - 1));
      }
      parts.add(moved(range, move, fence));
      next = move.range().last() + 1;
    }
    if (next <= range.range().last()) {
      parts.add(kept(range, next, range.range().last()));
    }
    return parts;
  }

  private static Part kept(OwnedRange range, int first, int last) {
    return new Part(range, new KeyRange(first, last), Optional.empty());
  }

  private static Part moved(OwnedRange range, KeyMove move, long fence) {
    KeyOwner owner = range.assignment().owner();
    KeyOwner target = KeyOwner.of(move.target(), fence);
    boolean mayHold = range.everGranted() && !owner.life().equals(target.life());
    Optional<KeyOwner> previous = mayHold ? Optional.of(owner) : Optional.empty();
    return new Part(
        range, move.range(), Optional.of(new KeyAssignment(move.range(), target, previous)));
  }
}
