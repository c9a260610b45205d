package dev.hornbeamwheel.core.placement;

import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Assigns a slice to the upstream that follows it on a hash ring. */
final class ConsistentHashing implements HashingScheme {
  @Override
  public Map<Slice, UpstreamId> assignOwners(List<Slice> slices, PlacementView view) {
    HashRing ring = new HashRing(view.eligible());
    return slices.stream()
        .collect(
            Collectors.toMap(
                Function.identity(),
                slice -> view.eligible().get(ring.ownerOf(HashingScheme.hash(slice))).upstream()));
  }
}
