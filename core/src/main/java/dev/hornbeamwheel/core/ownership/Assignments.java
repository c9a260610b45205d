package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.Epoch;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Immutable slice assignments of one cell, sorted by slice and packed into arrays to save memory.
 */
public final class Assignments {
  /** Index that means no upstream. */
  private static final int NONE = -1;

  private static final Assignments EMPTY = of(List.of());

  private final List<UpstreamId> upstreams;
  private final int[] shards;
  private final long[] keyHashes;
  private final int[] owners;
  private final long[] epochs;
  private final int[] previousOwners;

  private Assignments(List<UpstreamId> upstreams, int size) {
    this.upstreams = upstreams;
    this.shards = new int[size];
    this.keyHashes = new long[size];
    this.owners = new int[size];
    this.epochs = new long[size];
    this.previousOwners = new int[size];
  }

  /** Returns an instance without assignments. */
  public static Assignments empty() {
    return EMPTY;
  }

  /**
   * Returns the given assignments in packed form.
   *
   * @param assignments assignments in any order, at most one per slice
   */
  public static Assignments of(Collection<Assignment> assignments) {
    List<Assignment> sorted = new ArrayList<>(assignments);
    sorted.sort((a, b) -> a.slice().compareTo(b.slice()));
    List<UpstreamId> named =
        sorted.stream()
            .flatMap(a -> Stream.concat(Stream.of(a.owner()), a.previousOwner().stream()))
            .distinct()
            .sorted()
            .toList();
    Map<UpstreamId, Integer> index = new HashMap<>();
    named.forEach(upstream -> index.put(upstream, index.size()));
    Assignments packed = new Assignments(named, sorted.size());
    IntStream.range(0, sorted.size()).forEach(i -> packed.set(i, sorted.get(i), index));
    return packed;
  }

  private void set(int i, Assignment assignment, Map<UpstreamId, Integer> index) {
    shards[i] = assignment.slice().shard();
    keyHashes[i] = assignment.slice().keyHash();
    owners[i] = index.get(assignment.owner());
    epochs[i] = assignment.epoch().value();
    previousOwners[i] = assignment.previousOwner().map(index::get).orElse(NONE);
  }

  /** Returns the number of slices. */
  public int size() {
    return shards.length;
  }

  /** Returns the assignment at a position from zero to {@link #size()}, exclusive. */
  public Assignment at(int i) {
    return new Assignment(
        new Slice(shards[i], keyHashes[i]),
        upstreams.get(owners[i]),
        Epoch.of(epochs[i]),
        previousOwners[i] == NONE
            ? Optional.empty()
            : Optional.of(upstreams.get(previousOwners[i])));
  }

  /** Returns all assignments in slice order. */
  public Stream<Assignment> stream() {
    return IntStream.range(0, size()).mapToObj(this::at);
  }

  /** Returns the assignment of a slice, or empty if it has none. */
  public Optional<Assignment> find(Slice slice) {
    int low = 0;
    int high = size() - 1;
    while (low <= high) {
      int middle = (low + high) >>> 1;
      int order = new Slice(shards[middle], keyHashes[middle]).compareTo(slice);
      if (order == 0) {
        return Optional.of(at(middle));
      }
      if (order < 0) {
        low = middle + 1;
      } else {
        high = middle - 1;
      }
    }
    return Optional.empty();
  }

  /** Returns the upstreams that own a slice or have yet to release one, sorted. */
  public List<UpstreamId> upstreams() {
    return upstreams;
  }

  /** Returns whether a previous owner has yet to release a slice. */
  public boolean anyMoving() {
    return IntStream.of(previousOwners).anyMatch(index -> index != NONE);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Assignments that
        && upstreams.equals(that.upstreams)
        && Arrays.equals(shards, that.shards)
        && Arrays.equals(keyHashes, that.keyHashes)
        && Arrays.equals(owners, that.owners)
        && Arrays.equals(epochs, that.epochs)
        && Arrays.equals(previousOwners, that.previousOwners);
  }

  @Override
  public int hashCode() {
    return Objects.hash(upstreams, Arrays.hashCode(shards), Arrays.hashCode(epochs));
  }

  @Override
  public String toString() {
    return stream().toList().toString();
  }
}
