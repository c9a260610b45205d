package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A table that is to be written, and how it follows from the present ranges; immutable. */
final class TableProposal {
  /** A range of the new table, and how it follows from present ranges. */
  private sealed interface Part {
    KeyAssignment assignment();

    OwnedRange resultingRange();
  }

  /** A range that stays with its owner. */
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

  /** A range that changes its owner. */
  private record Moved(OwnedRange source, KeyAssignment assignment) implements Part {
    @Override
    public OwnedRange resultingRange() {
      return source.movedTo(assignment);
    }
  }

  /** Neighbouring ranges of one owner that become one. */
  private record Merged(List<Kept> parts, KeyAssignment assignment) implements Part {
    @Override
    public OwnedRange resultingRange() {
      return OwnedRange.merged(assignment, parts.stream().map(Kept::resultingRange).toList());
    }
  }

  private final long nextFencingToken;
  private final List<Part> parts;

  private TableProposal(long nextFence, List<Part> parts) {
    this.nextFencingToken = nextFence;
    this.parts = parts;
  }

  /** Returns a proposal without any keys. */
  static TableProposal empty() {
    return new TableProposal(1, List.of());
  }

  /** Returns the first owners of keys that nobody ever held. */
  static TableProposal initial(Map<KeyRange, UpstreamRegistration> owners, long fence) {
    List<Part> parts =
        owners.entrySet().stream()
            .sorted(Comparator.comparingInt(entry -> entry.getKey().first()))
            .map(
                entry ->
                    new KeyAssignment(
                        entry.getKey(), KeyOwner.of(entry.getValue(), fence), Optional.empty()))
            .<Part>map(assignment -> new Moved(OwnedRange.neverHeld(assignment), assignment))
            .toList();
    return new TableProposal(fence + 1, parts);
  }

  /** Returns the ranges with some of them moved, under a new fencing token. */
  static TableProposal withMoves(List<OwnedRange> ranges, List<KeyMove> moves, long fence) {
    List<Part> parts =
        ranges.stream().flatMap(range -> split(range, moves, fence).stream()).toList();
    List<Part> merged = merge(parts, fence);
    boolean fenceUsed = !moves.isEmpty() || merged.size() < parts.size();
    return new TableProposal(fenceUsed ? fence + 1 : fence, merged);
  }

  /** Makes neighbours of one owner one range, so that the number of grants stays small. */
  private static List<Part> merge(List<Part> parts, long fence) {
    List<Part> merged = new ArrayList<>();
    List<Kept> run = new ArrayList<>();
    for (Part part : parts) {
      if (!run.isEmpty() && !extendsRun(run.get(run.size() - 1), part)) {
        merged.add(mergeRun(run, fence));
        run.clear();
      }
      if (part instanceof Kept kept && kept.source().mergeable()) {
        run.add(kept);
      } else {
        merged.add(part);
      }
    }
    if (!run.isEmpty()) {
      merged.add(mergeRun(run, fence));
    }
    return merged;
  }

  private static boolean extendsRun(Kept before, Part next) {
    return next instanceof Kept kept
        && kept.source().mergeable()
        && before
            .assignment()
            .owner()
            .incarnation()
            .equals(kept.assignment().owner().incarnation());
  }

  private static Part mergeRun(List<Kept> run, long fence) {
    Kept first = run.get(0);
    if (run.size() == 1) {
      return first;
    }
    KeyOwner owner = first.assignment().owner();
    KeyRange range = new KeyRange(first.range().first(), run.get(run.size() - 1).range().last());
    return new Merged(
        List.copyOf(run),
        new KeyAssignment(
            range, new KeyOwner(owner.incarnation(), owner.address(), fence), Optional.empty()));
  }

  /** Returns the table as it is to lie in the store. */
  KeyTable table() {
    return new KeyTable(nextFencingToken, parts.stream().map(Part::assignment).toList());
  }

  /** Returns the ranges once the table is written, from their state at that moment. */
  List<OwnedRange> resultingRanges() {
    return parts.stream().map(Part::resultingRange).toList();
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
    return new Kept(range, new KeyRange(first, last));
  }

  private static Part moved(OwnedRange range, KeyMove move, long fence) {
    KeyOwner owner = range.assignment().owner();
    KeyOwner target = KeyOwner.of(move.target(), fence);
    boolean mayHold = range.everGranted() && !owner.incarnation().equals(target.incarnation());
    Optional<KeyOwner> previous = mayHold ? Optional.of(owner) : Optional.empty();
    return new Moved(range, new KeyAssignment(move.range(), target, previous));
  }
}
