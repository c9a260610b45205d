package dev.hornbeamwheel.core.placement;

import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** Assigns a slice to the upstream with the highest weight for it, scaled by capacity. */
final class RendezvousHashing implements HashingScheme {
  /** Bits of a hash that a {@code double} represents exactly. */
  private static final int EXACT_BITS = 53;

  @Override
  public Map<Slice, UpstreamId> assignOwners(List<Slice> slices, PlacementView view) {
    List<PlacementView.Target> targets = view.eligible();
    long[] hashes =
        targets.stream().mapToLong(target -> Rendezvous.hash(target.upstream().value())).toArray();
    Map<Slice, UpstreamId> owners = new HashMap<>();
    slices.forEach(
        slice -> owners.put(slice, targets.get(best(slice, targets, hashes)).upstream()));
    return owners;
  }

  private static int best(Slice slice, List<PlacementView.Target> targets, long[] hashes) {
    long subject = HashingScheme.hash(slice);
    return IntStream.range(0, targets.size())
        .boxed()
        .max(
            (one, other) ->
                Double.compare(
                    score(hashes[one], subject, targets.get(one).capacity()),
                    score(hashes[other], subject, targets.get(other).capacity())))
        .orElseThrow();
  }

  private static double score(long hash, long subject, double capacity) {
    long bits = Rendezvous.weight(hash, subject) >>> (Long.SIZE - EXACT_BITS);
    double uniform = (bits + 0.5) / (1L << EXACT_BITS);
    return -capacity / Math.log(uniform);
  }
}
