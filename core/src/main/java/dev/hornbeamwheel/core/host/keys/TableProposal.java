package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

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
  private record Moved(OwnedRange source, KeyAssignment assignment, FencingTokens tokens)
      implements Part {
    @Override
    public OwnedRange resultingRange() {
      return source.movedTo(assignment, tokens);
    }
  }

  /** A range without a holder, which its owner may be granted from now on. */
  private record Freed(OwnedRange source) implements Part {
    @Override
    public KeyAssignment assignment() {
      return source.assignment().withoutPreviousOwner();
    }

    @Override
    public OwnedRange resultingRange() {
      return source.granting(assignment());
    }
  }

  /** A range whose previous owner needs further fencing tokens, lower than that of its owner. */
  private record Retokened(OwnedRange source, KeyAssignment assignment, FencingTokens tokens)
      implements Part {
    @Override
    public OwnedRange resultingRange() {
      return source.withTokens(assignment, tokens);
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
            .<Part>map(
                assignment ->
                    new Moved(OwnedRange.neverHeld(assignment), assignment, FencingTokens.none()))
            .toList();
    return new TableProposal(fencingToken + 1, parts);
  }

  /**
   * Returns a proposal that applies some moves to the ranges, and that lets the owners of free
   * ranges be granted them.
   *
   * @param fencingToken first of the fencing tokens that the proposal may use
   */
  static TableProposal withMoves(
      long nowMillis, List<OwnedRange> ranges, List<KeyMove> moves, long fencingToken) {
    FencingTokens tokens = FencingTokens.reservedFrom(fencingToken);
    List<Part> parts =
        ranges.stream().flatMap(range -> split(nowMillis, range, moves, tokens).stream()).toList();
    List<Part> merged = merge(parts, tokens.next());
    boolean tokensUsed =
        merged.size() < parts.size()
            || parts.stream().anyMatch(part -> part instanceof Moved || part instanceof Retokened);
    return new TableProposal(tokensUsed ? tokens.next() + 1 : fencingToken, merged);
  }

  /**
   * Returns a proposal that gives each owner a new fencing token; no range has a confirmed owner
   * after it.
   *
   * @param fencingToken first of the fencing tokens that the proposal may use
   */
  static TableProposal withNewTokens(List<OwnedRange> ranges, long fencingToken) {
    FencingTokens tokens = FencingTokens.reservedFrom(fencingToken);
    List<Part> parts =
        ranges.stream()
            .<Part>map(
                range -> {
                  KeyAssignment next = range.assignment().withFencingToken(tokens.next());
                  return next.previousOwner().isPresent()
                      ? new Retokened(range, next, tokens)
                      : new Moved(range, next, tokens);
                })
            .toList();
    return new TableProposal(tokens.next() + 1, parts);
  }

  /** Returns whether adjacent ranges of one owner can be merged. */
  static boolean canMerge(List<OwnedRange> ranges) {
    return IntStream.range(1, ranges.size())
        .anyMatch(index -> sameOwner(ranges.get(index - 1), ranges.get(index)));
  }

  private static boolean sameOwner(OwnedRange first, OwnedRange second) {
    return first.mergeable()
        && second.mergeable()
        && first
            .assignment()
            .owner()
            .incarnation()
            .equals(second.assignment().owner().incarnation());
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
    return next instanceof Kept kept && sameOwner(last.source(), kept.source());
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

  private static List<Part> split(
      long nowMillis, OwnedRange range, List<KeyMove> moves, FencingTokens tokens) {
    List<KeyMove> movesInRange =
        moves.stream()
            .filter(move -> range.range().contains(move.range().first()))
            .sorted(Comparator.comparingInt(move -> move.range().first()))
            .toList();
    if (movesInRange.isEmpty()) {
      return List.of(unmoved(nowMillis, range, tokens));
    }
    List<Part> parts = new ArrayList<>();
    int nextKey = range.range().first();
    for (KeyMove move : movesInRange) {
      if (move.range().first() > nextKey) {
        parts.add(kept(range, nextKey, move.range().first() - 1));
      }
      parts.add(moved(range, move, tokens));
      nextKey = move.range().last() + 1;
    }
    if (nextKey <= range.range().last()) {
      parts.add(kept(range, nextKey, range.range().last()));
    }
    return parts;
  }

  private static Part unmoved(long nowMillis, OwnedRange range, FencingTokens tokens) {
    if (range.phase() == OwnedRange.Phase.FREE) {
      return new Freed(range);
    }
    return range.needsTokens(nowMillis)
        ? new Retokened(range, range.assignment().withFencingToken(tokens.next()), tokens)
        : new Kept(range, range.range());
  }

  private static Part kept(OwnedRange range, int first, int last) {
    return new Kept(range, new KeyRange(first, last));
  }

  private static Part moved(OwnedRange range, KeyMove move, FencingTokens tokens) {
    KeyOwner owner = range.assignment().owner();
    KeyOwner target = KeyOwner.of(move.target(), tokens.next());
    // The first grant of an owner may be sent while the table is being written.
    boolean mayBeHeld =
        range.phase() != OwnedRange.Phase.FREE || !range.assignment().ownerNeverGranted();
    boolean sameOwner = owner.incarnation().equals(target.incarnation());
    Optional<KeyOwner> previous = mayBeHeld && !sameOwner ? Optional.of(owner) : Optional.empty();
    return new Moved(range, new KeyAssignment(move.range(), target, previous), tokens);
  }
}
