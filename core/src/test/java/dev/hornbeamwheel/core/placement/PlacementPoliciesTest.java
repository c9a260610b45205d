package dev.hornbeamwheel.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class PlacementPoliciesTest {
  private static final int SHARDS = 32;

  @Test
  void evenLoadMovesNothing() {
    assertThat(PlacementPolicies.boundedChurn().plan(view(spread(), load(1), 4))).isEmpty();
  }

  @Test
  void hotKeyIsIsolatedBeforeAnyShardMoves() {
    Map<Slice, Double> load = load(1);
    List<Slice> hot = List.of(Slice.ofKey(0, 77), Slice.ofKey(0, 78), Slice.ofKey(0, 79));
    hot.forEach(key -> load.put(key, 1.5));
    load.put(Slice.ofShard(0), 5.5);
    assertThat(PlacementPolicies.boundedChurn().plan(view(spread(), load, 4)).get(0).slice())
        .isIn(hot);
  }

  @Property(tries = 200, seed = "44")
  void slicesOfAnUpstreamThatLeftGoToEligibleOnes(@ForAll long seed) {
    List<PlacementPolicy> policies =
        List.of(
            PlacementPolicies.boundedChurn(),
            PlacementPolicies.consistentHashing(),
            PlacementPolicies.rendezvousHashing(),
            PlacementPolicies.boundedLoadHashing());
    policies.forEach(
        policy -> {
          Map<Slice, UpstreamId> owners = spread();
          Map<Slice, Double> load = load(1);
          load.put(Slice.ofShard((int) Math.floorMod(seed, (long) SHARDS)), 9.0);
          policy.plan(view(owners, load, 3)).forEach(move -> owners.put(move.slice(), move.to()));
          assertThat(owners.values()).doesNotContain(upstream(3));
        });
  }

  private static PlacementView view(
      Map<Slice, UpstreamId> owners, Map<Slice, Double> load, int eligible) {
    List<PlacementView.Target> targets =
        IntStream.range(0, eligible)
            .mapToObj(index -> new PlacementView.Target(upstream(index), 1))
            .toList();
    CellId cell = CellId.of(ServiceId.of("stock-ledger"), 0);
    return new PlacementView(0, cell, owners, List.of(), targets, load, Map.of(), true);
  }

  private static Map<Slice, UpstreamId> spread() {
    Map<Slice, UpstreamId> owners = new HashMap<>();
    IntStream.range(0, SHARDS).forEach(i -> owners.put(Slice.ofShard(i), upstream(i % 4)));
    return owners;
  }

  private static Map<Slice, Double> load(double each) {
    Map<Slice, Double> load = new HashMap<>();
    IntStream.range(0, SHARDS).forEach(i -> load.put(Slice.ofShard(i), each));
    return load;
  }

  private static UpstreamId upstream(int index) {
    return UpstreamId.of("ledger-" + index);
  }
}
