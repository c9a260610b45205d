package dev.hornbeamwheel.core.placement;

import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Moves each slice to the owner given by a {@link HashingScheme}. */
final class HashingPolicy implements PlacementPolicy {
  private final HashingScheme scheme;

  HashingPolicy(HashingScheme scheme) {
    this.scheme = scheme;
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
    Map<Slice, UpstreamId> owners = scheme.assignOwners(slices, view);
    return slices.stream()
        .filter(slice -> !owners.get(slice).equals(view.owners().get(slice)))
        .map(slice -> new Move(slice, owners.get(slice), "hash"))
        .toList();
  }
}
