package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.placement.PlacementPolicy;
import java.util.List;
import java.util.Optional;

/**
 * Leads cells: elects leaders, grants leases to upstreams, moves slices and drains places.
 *
 * <pre>{@code
 * OwnershipReducer reducer =
 *     OwnershipReducer.create(self, dataCentre, options, policy, claims, seed);
 * reducer.reduce(new OwnershipEvent.Tick(now)).forEach(performer::perform);
 * }</pre>
 */
public final class OwnershipReducer implements Reducer<OwnershipEvent, OwnershipEffect>, VoterView {
  private OwnershipReducer() {}

  /**
   * Returns the reducer of one start of a controller.
   *
   * @param self the controller and its incarnation
   * @param dataCentre data centre that it stands in
   * @param options durations of the protocol
   * @param policy decides which slices move
   * @param claims gives the claims that are passed on when this voter is sealed
   * @param seed seed of the random numbers; must differ between members
   */
  public static OwnershipReducer create(
      Voter self,
      DataCentreId dataCentre,
      OwnershipOptions options,
      PlacementPolicy policy,
      ClaimsSource claims,
      long seed) {
    return new OwnershipReducer();
  }

  @Override
  public List<OwnershipEffect> reduce(OwnershipEvent event) {
    return List.of();
  }

  @Override
  public Optional<CellRow> row(CellId cell) {
    return Optional.empty();
  }

  @Override
  public boolean sealed(CellId cell, long number) {
    return false;
  }

  @Override
  public boolean votes(CellId cell) {
    return false;
  }

  @Override
  public boolean leads(CellId cell, long atMillis) {
    return false;
  }
}
