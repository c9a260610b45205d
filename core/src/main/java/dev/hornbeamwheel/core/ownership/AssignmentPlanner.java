package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.config.Fencing;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.Epoch;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.placement.Move;
import dev.hornbeamwheel.core.placement.PlacementView;
import dev.hornbeamwheel.core.placement.PlacementView.Target;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/** Applies the moves of the placement policy to the assignments of a cell. */
final class AssignmentPlanner {
  private final ControllerContext context;
  private final Service service;

  AssignmentPlanner(ControllerContext context, Service service) {
    this.context = context;
    this.service = service;
  }

  /**
   * Returns the next assignments, or empty if nothing changes.
   *
   * @param row the current row
   * @param eligible upstreams that may own slices, with their capacity
   * @param released tells whether the previous owner of an assignment has released the slice
   */
  Optional<Assignments> plan(
      CellRow row, List<Target> eligible, Predicate<Assignment> released, long now) {
    TreeMap<Slice, Assignment> next = new TreeMap<>();
    row.assignments().stream().forEach(a -> next.put(a.slice(), completeMove(a, released)));
    if (!eligible.isEmpty()) {
      context.policy().plan(view(row, next, eligible, now)).forEach(move -> apply(move, next));
    }
    Assignments packed = Assignments.of(next.values());
    return packed.equals(row.assignments()) ? Optional.empty() : Optional.of(packed);
  }

  private static Assignment completeMove(Assignment assignment, Predicate<Assignment> released) {
    return assignment.previousOwner().isPresent() && released.test(assignment)
        ? new Assignment(
            assignment.slice(), assignment.owner(), assignment.epoch(), Optional.empty())
        : assignment;
  }

  private PlacementView view(
      CellRow row, Map<Slice, Assignment> assignments, List<Target> eligible, long now) {
    Map<Slice, UpstreamId> owners = new HashMap<>();
    assignments.forEach((slice, assignment) -> owners.put(slice, assignment.owner()));
    List<Slice> unassigned =
        shards(row).mapToObj(Slice::ofShard).filter(s -> !owners.containsKey(s)).toList();
    return new PlacementView(
        now,
        row.cell(),
        owners,
        unassigned,
        eligible,
        context.loadReports().forCell(row.cell()),
        Map.of(),
        service.fencing() == Fencing.CHECKED);
  }

  private IntStream shards(CellRow row) {
    return IntStream.range(0, service.shards())
        .filter(shard -> service.cellOf(shard) == row.cell().index());
  }

  private void apply(Move move, Map<Slice, Assignment> next) {
    Assignment current = next.get(move.slice());
    if (current != null) {
      if (current.previousOwner().isEmpty() && !current.owner().equals(move.to())) {
        next.put(move.slice(), withNewOwner(current, move.to(), current.slice()));
      }
    } else if (move.slice().isolated()) {
      isolate(move, next);
    } else {
      next.put(
          move.slice(),
          new Assignment(move.slice(), move.to(), Epoch.NONE.next(), Optional.empty()));
    }
  }

  /**
   * Isolates a key. The shard also gets a new epoch, so that requests with the old one are
   * rejected.
   */
  private void isolate(Move move, Map<Slice, Assignment> next) {
    Assignment shard = next.get(Slice.ofShard(move.slice().shard()));
    if (service.fencing() != Fencing.CHECKED
        || shard == null
        || shard.previousOwner().isPresent()) {
      return;
    }
    next.put(shard.slice(), withNewOwner(shard, shard.owner(), shard.slice()));
    next.put(move.slice(), withNewOwner(shard, move.to(), move.slice()));
  }

  private static Assignment withNewOwner(Assignment from, UpstreamId to, Slice slice) {
    return new Assignment(slice, to, from.epoch().next(), Optional.of(from.owner()));
  }
}
