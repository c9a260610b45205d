package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.config.Isolation;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides when the voters or the home of a cell must change; each change starts a new term number.
 */
final class VoterSetPlanner {
  /** Time a cell must be without a leader before its voters are replaced. */
  private static final long VACANCY_MILLIS = 100;

  /** Delay between controllers of adjacent rank, so that they rarely write at once. */
  private static final long RANK_DELAY_MILLIS = 150;

  /** Rank of a controller that is missing from its own list of live controllers. */
  private static final int UNRANKED = 1_000_000;

  private static final long UNSET = Long.MIN_VALUE;

  private final ControllerContext context;
  private final CellId cell;
  private final VoterLiveness liveness;
  private long voterSetUnfitSince = UNSET;
  private long vacantSince = UNSET;

  VoterSetPlanner(ControllerContext context, CellId cell, VoterLiveness liveness) {
    this.context = context;
    this.cell = cell;
    this.liveness = liveness;
  }

  /** Returns the first row of a cell without one, or empty if it is not this controller's turn. */
  Optional<CellRow> firstRow(Service service, long now) {
    Optional<DataCentreId> home = context.topology().preferredHome(service, cell, null, now);
    if (!isTurn(home.filter(id -> id.equals(context.dataCentre())).isPresent(), now)) {
      return Optional.empty();
    }
    return Optional.of(
        newRow(service, home.get(), 1, 1, List.of(), List.of(), Assignments.empty()));
  }

  /**
   * Returns whether this controller should look up the row of a cell whose row it does not know.
   *
   * <p>The highest-ranked controllers of each data centre do, since the row may name any data
   * centre as the home.
   */
  boolean shouldFindRow() {
    return rank() < context.options().maxVoters();
  }

  /**
   * Returns the row with which a leader changes the voters or the home of its cell, if either must
   * change.
   */
  Optional<CellRow> nextRowAsLeader(Service service, CellRow row, long now) {
    Topology topology = context.topology();
    DataCentreId home = topology.preferredHome(service, cell, row.home(), now).orElse(row.home());
    boolean settled = !row.assignments().anyMoving() || !topology.canBeHome(service, row.home());
    if (!home.equals(row.home()) && topology.hasLiveControllers(home) && settled) {
      return Optional.of(nextRow(service, row, home, List.of(row.asPredecessor())));
    }
    if (voterSetFits(service, row)) {
      voterSetUnfitSince = UNSET;
      return Optional.empty();
    }
    voterSetUnfitSince = voterSetUnfitSince == UNSET ? now : voterSetUnfitSince;
    return now - voterSetUnfitSince < context.options().settleMillis()
        ? Optional.empty()
        : Optional.of(nextRow(service, row, row.home(), List.of(row.asPredecessor())));
  }

  private boolean voterSetFits(Service service, CellRow row) {
    Topology topology = context.topology();
    List<Voter> idealVoters = topology.idealVoters(cell, row.home(), row.voters());
    boolean betterVoters =
        (idealVoters.size() >= row.voters().size() && !idealVoters.containsAll(row.voters()))
            || idealVoters.size() > row.voters().size();
    boolean witnessed =
        service.isolation() == Isolation.KEEP_SERVING
            || (!row.witnesses().isEmpty() && majorityLive(row.witnesses()))
            || topology.idealWitnesses(cell, row.home()).isEmpty();
    return !betterVoters && witnessed;
  }

  private boolean majorityLive(List<Voter> group) {
    return group.stream().filter(context.topology()::isLive).count() > group.size() / 2;
  }

  /**
   * Returns the row with which a controller that does not lead takes over a cell, or empty if it
   * may not do so now.
   *
   * @param led whether another controller is known to lead the cell
   */
  Optional<CellRow> takeoverRow(Service service, CellRow row, boolean led, long now) {
    if (!isTurn(!led && mayTakeOver(service, row, now), now) || !sealable(service, row, now)) {
      return Optional.empty();
    }
    List<Predecessor> unsealed = new ArrayList<>(row.unsealed());
    unsealed.add(row.asPredecessor());
    return Optional.of(nextRow(service, row, context.dataCentre(), unsealed));
  }

  private boolean mayTakeOver(Service service, CellRow row, long now) {
    Topology topology = context.topology();
    if (row.home().equals(context.dataCentre())) {
      return !liveness.majorityLive(row.voters(), now);
    }
    boolean homeUnavailable =
        topology.declaredLost(row.home()) || topology.presumedYielded(service, row.home(), now);
    return homeUnavailable
        && topology
            .preferredHome(service, cell, row.home(), now)
            .filter(home -> home.equals(context.dataCentre()))
            .isPresent();
  }

  /**
   * Returns whether the current term number can be sealed; otherwise a new one would only block the
   * cell.
   */
  private boolean sealable(Service service, CellRow row, long now) {
    if (context.topology().declaredLost(row.home())) {
      return true;
    }
    boolean yielding =
        service.isolation() == Isolation.YIELD && !row.home().equals(context.dataCentre());
    List<Voter> group = yielding ? row.witnesses() : row.voters();
    liveness.probe(group, now);
    return group.isEmpty() || liveness.sealable(group, now);
  }

  /** Returns whether a condition has lasted until this controller's turn by rank. */
  private boolean isTurn(boolean condition, long now) {
    if (!condition) {
      vacantSince = UNSET;
      return false;
    }
    vacantSince = vacantSince == UNSET ? now : vacantSince;
    int rank = rank();
    return rank < context.options().maxVoters()
        && now - vacantSince >= VACANCY_MILLIS + rank * RANK_DELAY_MILLIS;
  }

  private int rank() {
    int rank = context.topology().rankLive(cell, context.dataCentre()).indexOf(context.self());
    return rank < 0 ? UNRANKED : rank;
  }

  private CellRow nextRow(
      Service service, CellRow row, DataCentreId home, List<Predecessor> unsealed) {
    voterSetUnfitSince = UNSET;
    vacantSince = UNSET;
    List<Voter> currentVoters = home.equals(row.home()) ? row.voters() : List.of();
    return newRow(
        service,
        home,
        row.version() + 1,
        row.termNumber() + 1,
        currentVoters,
        unsealed,
        row.assignments());
  }

  private CellRow newRow(
      Service service,
      DataCentreId home,
      long version,
      long termNumber,
      List<Voter> currentVoters,
      List<Predecessor> unsealed,
      Assignments assignments) {
    Topology topology = context.topology();
    List<Voter> witnesses =
        service.isolation() == Isolation.YIELD ? topology.idealWitnesses(cell, home) : List.of();
    return new CellRow(
        cell,
        version,
        termNumber,
        home,
        topology.idealVoters(cell, home, currentVoters),
        witnesses,
        unsealed,
        assignments,
        context.nextOperationId());
  }
}
