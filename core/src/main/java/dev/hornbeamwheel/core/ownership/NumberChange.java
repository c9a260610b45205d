package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.config.Isolation;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Decides when the voters or the home of a cell have to change, which takes a new term number. */
final class NumberChange {
  /** Time for which a cell must be without a leader before its voters are replaced, in ms. */
  private static final long VACANT_MILLIS = 100;

  /** Delay between controllers of adjacent rank, in milliseconds. */
  private static final long STAGGER_MILLIS = 150;

  /** Rank of a controller that is not live in its own view. */
  private static final int UNRANKED = 1_000_000;

  private static final long UNSET = Long.MIN_VALUE;

  private final Context context;
  private final CellId cell;
  private final Liveness liveness;
  private long unfitSince = UNSET;
  private long vacantSince = UNSET;

  NumberChange(Context context, CellId cell, Liveness liveness) {
    this.context = context;
    this.cell = cell;
    this.liveness = liveness;
  }

  /** Returns the first row of a cell that has none; empty if it is not this controller's turn. */
  Optional<CellRow> first(Service service, long now) {
    Optional<DataCentreId> home = context.topology().homeFor(service, cell, null, now);
    if (!turn(home.filter(id -> id.equals(context.dataCentre())).isPresent(), now)) {
      return Optional.empty();
    }
    return Optional.of(row(service, home.get(), 1, 1, List.of(), List.of(), Assignments.empty()));
  }

  /**
   * Returns whether this controller should look for the row of a cell that it does not know.
   *
   * <p>In each data centre some do, since any may be the home that the row names.
   */
  boolean responsible() {
    return rank() < context.options().voters();
  }

  /** Returns the row by which a leader changes its voters or gives the cell to another home. */
  Optional<CellRow> byLeader(Service service, CellRow row, long now) {
    Topology topology = context.topology();
    DataCentreId home = topology.homeFor(service, cell, row.home(), now).orElse(row.home());
    boolean settled = !row.assignments().moving() || !topology.usable(service, row.home());
    if (!home.equals(row.home()) && topology.peopled(home) && settled) {
      return Optional.of(next(service, row, home, List.of(row.asPredecessor())));
    }
    if (fit(service, row)) {
      unfitSince = UNSET;
      return Optional.empty();
    }
    unfitSince = unfitSince == UNSET ? now : unfitSince;
    return now - unfitSince < context.options().settleMillis()
        ? Optional.empty()
        : Optional.of(next(service, row, row.home(), List.of(row.asPredecessor())));
  }

  private boolean fit(Service service, CellRow row) {
    Topology topology = context.topology();
    List<Voter> ideal = topology.idealVoters(cell, row.home(), row.voters());
    boolean betterVoters =
        (ideal.size() >= row.voters().size() && !ideal.containsAll(row.voters()))
            || ideal.size() > row.voters().size();
    boolean witnessed =
        service.isolation() == Isolation.KEEP_SERVING
            || (!row.witnesses().isEmpty() && majorityAlive(row.witnesses()))
            || topology.witnesses(cell, row.home()).isEmpty();
    return !betterVoters && witnessed;
  }

  private boolean majorityAlive(List<Voter> group) {
    return group.stream().filter(context.topology()::alive).count() > group.size() / 2;
  }

  /**
   * Returns the row by which a controller that does not lead takes a cell over.
   *
   * @param led whether some controller is known to lead the cell
   */
  Optional<CellRow> byOther(Service service, CellRow row, boolean led, long now) {
    if (!turn(!led && mayTake(service, row, now), now) || !sealable(service, row, now)) {
      return Optional.empty();
    }
    List<Predecessor> unsealed = new ArrayList<>(row.unsealed());
    unsealed.add(row.asPredecessor());
    return Optional.of(next(service, row, context.dataCentre(), unsealed));
  }

  private boolean mayTake(Service service, CellRow row, long now) {
    Topology topology = context.topology();
    if (row.home().equals(context.dataCentre())) {
      return !liveness.majorityAlive(row.voters(), now);
    }
    boolean abandoned = topology.lost(row.home()) || topology.yielded(service, row.home(), now);
    return abandoned
        && topology
            .homeFor(service, cell, row.home(), now)
            .filter(home -> home.equals(context.dataCentre()))
            .isPresent();
  }

  /** Returns whether the present term number can be closed; else a new one would only block it. */
  private boolean sealable(Service service, CellRow row, long now) {
    if (context.topology().lost(row.home())) {
      return true;
    }
    boolean yielding =
        service.isolation() == Isolation.YIELD && !row.home().equals(context.dataCentre());
    List<Voter> group = yielding ? row.witnesses() : row.voters();
    liveness.probe(group, now);
    return group.isEmpty() || liveness.sealable(group, now);
  }

  /** Returns whether a condition has lasted until this controller's turn. */
  private boolean turn(boolean condition, long now) {
    if (!condition) {
      vacantSince = UNSET;
      return false;
    }
    vacantSince = vacantSince == UNSET ? now : vacantSince;
    int rank = rank();
    return rank < context.options().voters()
        && now - vacantSince >= VACANT_MILLIS + rank * STAGGER_MILLIS;
  }

  private int rank() {
    int rank = context.topology().ranked(cell, context.dataCentre()).indexOf(context.self());
    return rank < 0 ? UNRANKED : rank;
  }

  private CellRow next(
      Service service, CellRow row, DataCentreId home, List<Predecessor> unsealed) {
    unfitSince = UNSET;
    vacantSince = UNSET;
    List<Voter> present = home.equals(row.home()) ? row.voters() : List.of();
    return row(
        service, home, row.version() + 1, row.number() + 1, present, unsealed, row.assignments());
  }

  private CellRow row(
      Service service,
      DataCentreId home,
      long version,
      long number,
      List<Voter> present,
      List<Predecessor> unsealed,
      Assignments assignments) {
    Topology topology = context.topology();
    List<Voter> witnesses =
        service.isolation() == Isolation.YIELD ? topology.witnesses(cell, home) : List.of();
    return new CellRow(
        cell,
        version,
        number,
        home,
        topology.idealVoters(cell, home, present),
        witnesses,
        unsealed,
        assignments,
        context.nextOperation());
  }
}
