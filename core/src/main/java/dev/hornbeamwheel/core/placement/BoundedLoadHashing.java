package dev.hornbeamwheel.core.placement;

import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Assigns a slice to the first upstream along a hash ring whose load stays within a bound. */
final class BoundedLoadHashing implements HashingScheme {
  private final double loadBound;

  BoundedLoadHashing(double loadBound) {
    this.loadBound = loadBound;
  }

  @Override
  public Map<Slice, UpstreamId> assignOwners(List<Slice> slices, PlacementView view) {
    List<PlacementView.Target> targets = view.eligible();
    HashRing ring = new HashRing(targets);
    double total = slices.stream().mapToDouble(slice -> load(slice, view)).sum();
    double[] loads =
        targets.stream()
            .mapToDouble(target -> view.externalLoad().getOrDefault(target.upstream(), 0.0))
            .toArray();
    double external = Arrays.stream(loads).sum();
    double capacity = targets.stream().mapToDouble(PlacementView.Target::capacity).sum();
    double limit = loadBound * (total + external) / capacity;
    boolean[] full = new boolean[loads.length];
    Map<Slice, UpstreamId> owners = new HashMap<>();
    for (Slice slice : slices) {
      double load = load(slice, view);
      for (int i = 0; i < loads.length; i++) {
        full[i] = loads[i] + load > limit * targets.get(i).capacity();
      }
      int owner = ring.firstNotFull(HashingScheme.hash(slice), full);
      loads[owner] += load;
      owners.put(slice, targets.get(owner).upstream());
    }
    return owners;
  }

  private static double load(Slice slice, PlacementView view) {
    return view.load().getOrDefault(slice, 0.0);
  }
}
