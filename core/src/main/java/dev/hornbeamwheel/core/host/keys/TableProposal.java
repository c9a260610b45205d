package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A proposed table and the changes that lead to it from the current ranges; immutable. */
final class TableProposal {
  /** A range of the new table, derived from current ranges. */
  private sealed interface Part {
    KeyAssignment assignment();

    OwnedRange resultingRange();
  }

  /** A range, or a part of one, that keeps its owner. */
  private record Kept(OwnedRange source, KeyRange range) implements Part {
    @Override
    public KeyAssignment assignment() {
      return source.part(range).assignment();
    }

    @Override
    public OwnedRange resultingRange() {
      return source.part(range);
    }
  }

  /** A range that gets a new owner. */
  private record Moved(OwnedRange source, KeyAssignment assignment) implements Part {
    @Override
    public OwnedRange resultingRange() {
      return source.movedTo(assignment);
    }
  }

  /** Adjacent ranges of one owner that are merged. */
  private record Merged(List<Kept> parts, KeyAssignment assignment) implements Part {
    @Override
    public OwnedRange resultingRange() {
      return OwnedRange.merged(assignment, parts.stream().map(Kept::resultingRange).toList());
    }
  }

  private final long nextFencingToken;
  private final List<Part> parts;

  private TableProposal(long nextFencingToken, List<Part> parts) {
    this.nextFencingToken = nextFencingToken;
    this.parts = parts;
  }

  /** Returns a proposal that assigns keys that have never had an owner. */
  static TableProposal initial(Map<KeyRange, UpstreamRegistration> owners, long fencingToken) {
    List<Part> parts =
        owners.entrySet().stream()
            .sorted(Comparator.comparingInt(entry -> entry.getKey().first()))
            .map(
                entry ->
                    new KeyAssignment(
                        entry.getKey(),
                        KeyOwner.of(entry.getValue(), fencingToken),
                        Optional.empty()))
            .<Part>map(assignment -> new Moved(OwnedRange.neverHeld(assignment), assignment))
            .toList();
    return new TableProposal(fencingToken + 1, parts);
  }

  /** Returns a proposal that applies some moves to the ranges, with a new fencing token. */
  static TableProposal withMoves(List<OwnedRange> ranges, List<KeyMove> moves, long fencingToken) {
    List<Part> parts =
        ranges.stream().flatMap(range -> split(range, moves, fencingToken).stream()).toList();
    List<Part> merged = merge(parts, fencingToken);
    boolean tokenUsed = !moves.isEmpty() || merged.size() < parts.size();
    return new TableProposal(tokenUsed ? fencingToken + 1 : fencingToken, merged);
  }

  /** Merges adjacent ranges of one owner, which keeps the number of grants small. */
  private static List<Part> merge(List<Part> parts, long fencingToken) {
    List<Part> merged = new ArrayList<>();
    List<Kept> run = new ArrayList<>();
    for (Part part : parts) {
      if (!run.isEmpty() && !extendsRun(run.get(run.size() - 1), part)) {
        merged.add(mergeRun(run, fencingToken));
        run.clear();
      }
      if (part instanceof Kept kept && kept.source().mergeable()) {
        run.add(kept);
      } else {
        merged.add(part);
      }
    }
    if (!run.isEmpty()) {
      merged.add(mergeRun(run, fencingToken));
    }
    return merged;
  }

  private static boolean extendsRun(Kept last, Part next) {
    return next instanceof Kept kept
        && kept.source().mergeable()
        && last.assignment().owner().incarnation().equals(kept.assignment().owner().incarnation());
  }

  private static Part mergeRun(List<Kept> run, long fencingToken) {
    Kept first = run.get(0);
    if (run.size() == 1) {
      return first;
    }
    KeyOwner owner = first.assignment().owner();
    KeyRange range = new KeyRange(first.range().first(), run.get(run.size() - 1).range().last());
    return new Merged(
        List.copyOf(run),
        new KeyAssignment(
            range,
            new KeyOwner(owner.incarnation(), owner.address(), fencingToken),
            Optional.empty()));
  }

  /** Returns the table to write to the store. */
  KeyTable table() {
    return new KeyTable(nextFencingToken, parts.stream().map(Part::assignment).toList());
  }

  /** Returns the ranges after the table has been written, based on their state at the call. */
  List<OwnedRange> resultingRanges() {
    return parts.stream().map(Part::resultingRange).toList();
  }

  int size() {
    return parts.size();
  }

  private static List<Part> split(OwnedRange range, List<KeyMove> moves, long fencingToken) {
    List<KeyMove> movesInRange =
        moves.stream()
            .filter(move -> range.range().contains(move.range().first()))
            .sorted(Comparator.comparingInt(move -> move.range().first()))
            .toList();
    List<Part> parts = new ArrayList<>();
    int nextKey = range.range().first();
    for (KeyMove move : movesInRange) {
      if (move.range().first() > nextKey) {
        parts.add(kept(range, nextKey, move.range().first() - 1));
      }
      parts.add(moved(range, move, fencingToken));
      nextKey = move.range().last() + 1;
    }
    if (nextKey <= range.range().last()) {
      parts.add(kept(range, nextKey, range.range().last()));
    }
    return parts;
  }

  private static Part kept(OwnedRange range, int first, int last) {
    return new Kept(range, new KeyRange(first, last));
  }

  private static Part moved(OwnedRange range, KeyMove move, long fencingToken) {
    KeyOwner owner = range.assignment().owner();
    KeyOwner target = KeyOwner.of(move.target(), fencingToken);
    // Its first grant may be sent while the table is being written.
    Optional<KeyOwner> previous =
        owner.incarnation().equals(target.incarnation()) ? Optional.empty() : Optional.of(owner);
    return new Moved(range, new KeyAssignment(move.range(), target, previous));
  }
}
