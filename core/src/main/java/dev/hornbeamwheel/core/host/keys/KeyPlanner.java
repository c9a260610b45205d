package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Plans which ranges of keys move to which upstreams, with few and small moves.
 *
 * <p>Ranges that need a new owner come first, then those beside hot keys, then upstreams without
 * keys, then overloaded upstreams. Busy keys tend to be adjacent, so a small range often carries
 * much of the demand.
 */
final class KeyPlanner {
  /** Utilisation above which demand is moved away from an upstream. */
  static final double MAX_UTILISATION = 0.6;

  /** Minimum difference in utilisation between two upstreams that justifies a move. */
  static final double MIN_UTILISATION_GAP = 0.45;

  /** Maximum number of moves between eligible owners in one plan. */
  private static final int MAX_BALANCING_MOVES = 4;

  /**
   * A range that may be moved.
   *
   * @param range the keys
   * @param owner the current owner
   * @param needsNewOwner whether the range must be moved
   */
  record MovableRange(KeyRange range, UpstreamId owner, boolean needsNewOwner) {}

  private final KeyDemand demand;
  private final DraftPlan plan;
  private final MoveCandidates candidates;

  private KeyPlanner(DraftPlan plan, KeyDemand demand) {
    this.plan = plan;
    this.demand = demand;
    this.candidates = new MoveCandidates(demand);
  }

  /**
   * Returns the moves to make.
   *
   * @param movable all ranges that may be moved
   * @param inTransit the other ranges, whose new owners have not confirmed them yet
   * @param upstreams upstreams that may own keys
   */
  static List<KeyMove> plan(
      List<MovableRange> movable,
      List<KeyAssignment> inTransit,
      List<UpstreamRegistration> upstreams,
      KeyDemand demand,
      HotKeys hotKeys,
      Capacity capacity) {
    DraftPlan plan = new DraftPlan(movable, inTransit, upstreams, demand, capacity);
    KeyPlanner planner = new KeyPlanner(plan, demand);
    if (!upstreams.isEmpty()) {
      HotKeyIsolation isolation = new HotKeyIsolation(plan, demand, hotKeys.all());
      planner.assignNewOwners();
      isolation.planMoves();
      planner.fillEmptyUpstreams();
      if (!plan.tooManyRanges()) {
        planner.balance();
      }
    }
    return plan.moves();
  }

  private void assignNewOwners() {
    boolean tooMany = plan.tooManyRanges();
    plan.withoutOwner().stream()
        .flatMap(range -> (tooMany ? List.of(range) : candidates.split(range)).stream())
        .sorted(Comparator.comparingDouble((KeyRange piece) -> -demand.requestsPerSecond(piece)))
        .forEach(
            piece ->
                plan.assign(
                    piece, plan.leastUtilisedWith(demand.requestsPerSecond(piece)), "owner unfit"));
  }

  private void fillEmptyUpstreams() {
    plan.owners().stream()
        .filter(upstream -> !upstream.hasRanges())
        .forEach(
            empty ->
                plan.mostUtilised()
                    .filter(source -> source != empty)
                    .ifPresent(source -> moveDemand(source, empty, "upstream had no keys")));
  }

  private void balance() {
    for (int i = 0; i < MAX_BALANCING_MOVES; i++) {
      Optional<PlannedOwner> source = plan.mostUtilised();
      PlannedOwner destination = plan.leastUtilisedWith(0);
      if (source.isEmpty()
          || source.get().utilisation() < MAX_UTILISATION
          || source.get().utilisation() - destination.utilisation() < MIN_UTILISATION_GAP
          || !moveDemand(source.get(), destination, "demand")) {
        return;
      }
    }
  }

  /** Moves keys so that both upstreams get about the same utilisation; returns whether any move. */
  private boolean moveDemand(PlannedOwner source, PlannedOwner destination, String reason) {
    Optional<KeyRange> chosen =
        candidates.best(plan.movableOf(source), source.levellingDemand(destination));
    chosen.ifPresent(range -> plan.move(range, source, destination, reason));
    return chosen.isPresent();
  }
}
