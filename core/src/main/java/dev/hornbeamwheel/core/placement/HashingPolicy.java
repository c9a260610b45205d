package dev.hornbeamwheel.core.placement;

import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Moves each slice to where a hashing rule wants it. */
final class HashingPolicy implements PlacementPolicy {
  private final HashingScheme hashing;

  HashingPolicy(HashingScheme hashing) {
    this.hashing = hashing;
  }

  @Override
  public List<Move> plan(PlacementView view) {
    if (view.eligible().isEmpty()) {
      return List.of();
    }
    List<Slice> slices =
        Stream.concat(view.owners().keySet().stream(), view.unassigned().stream())
            .distinct()
            .sorted()
            .toList();
    Map<Slice, UpstreamId> places = hashing.assignOwners(slices, view);
    return slices.stream()
        .filter(slice -> !places.get(slice).equals(view.owners().get(slice)))
        .map(slice -> new Move(slice, places.get(slice), "hash"))
        .toList();
  }
}
