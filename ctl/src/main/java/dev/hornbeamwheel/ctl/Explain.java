package dev.hornbeamwheel.ctl;

import dev.hornbeamwheel.core.config.ConfigurationRow;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Key;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.ownership.Assignment;
import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.platform.ReadResult;
import java.util.Optional;

/** The command {@code explain}. */
final class Explain {
  private final CtlContext context;
  private final Changes changes;

  Explain(CtlContext context, Changes changes) {
    this.context = context;
    this.changes = changes;
  }

  CtlExitCode run(ServiceId id, Key key) {
    Optional<ConfigurationRow> current = changes.current();
    if (current.isEmpty()) {
      return CtlExitCode.PLATFORM_UNAVAILABLE;
    }
    Declarations declarations = current.get().configuration().declarations();
    Optional<Service> service =
        declarations.services().stream().filter(s -> s.id().equals(id)).findFirst();
    if (service.isEmpty()) {
      return changes.unknown("service " + id);
    }
    if (!service.get().keyed()) {
      context.out().printf("%s is pooled: any upstream may run a request of %s%n", id, key);
      return CtlExitCode.OK;
    }
    return explain(declarations, service.get(), key);
  }

  private CtlExitCode explain(Declarations declarations, Service service, Key key) {
    int shard = key.shard(service.shards()).index();
    CellId cell = CellId.of(service.id(), service.cellOf(shard));
    ReadResult result = context.table().read(cell.rowName()).join();
    if (result instanceof ReadResult.Unavailable failure) {
      context.err().println(failure.message());
      return CtlExitCode.PLATFORM_UNAVAILABLE;
    }
    context.out().printf("key %s: shard %d, cell %s%n", key, shard, cell);
    if (result instanceof ReadResult.Absent) {
      context.out().println("no owner yet: the cell has no row; a leader writes it first");
      return CtlExitCode.OK;
    }
    CellRow row = UnreadableRowException.decode(((ReadResult.Found) result).row());
    print(declarations, row, shard, key);
    return CtlExitCode.OK;
  }

  private void print(Declarations declarations, CellRow row, int shard, Key key) {
    context
        .out()
        .printf("row version %d, term %d, home %s%n", row.version(), row.termNumber(), row.home());
    Optional<Assignment> isolated = row.assignments().find(Slice.ofKey(shard, key.hash()));
    Optional<Assignment> found =
        isolated.isPresent() ? isolated : row.assignments().find(Slice.ofShard(shard));
    if (found.isEmpty()) {
      context.out().println("no owner yet: the shard is not assigned");
      return;
    }
    Assignment assignment = found.get();
    context.out().printf("owner %s, epoch %d%n", assignment.owner(), assignment.epoch().value());
    context.out().println("why: " + why(declarations, row, assignment));
  }

  private static String why(Declarations declarations, CellRow row, Assignment assignment) {
    String unit =
        assignment.slice().isolated()
            ? "this hot key is isolated from its shard and assigned by itself"
            : "the whole shard is assigned";
    String move =
        assignment
            .previousOwner()
            .map(from -> "; on the move: " + from + " gives it up first, requests wait meanwhile")
            .orElse("");
    boolean leaving =
        declarations.upstreams().stream()
            .filter(upstream -> upstream.id().equals(assignment.owner()))
            .anyMatch(upstream -> leaving(declarations, upstream));
    return unit
        + " by the leader of the cell in "
        + row.home()
        + move
        + (leaving ? "; the owner is out of service, so it moves next" : "");
  }

  private static boolean leaving(Declarations declarations, Upstream upstream) {
    return declarations.drained(upstream);
  }
}
