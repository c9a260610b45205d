package dev.hornbeamwheel.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import dev.hornbeamwheel.core.config.ConfigurationRow;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.platform.HostEntry;
import dev.hornbeamwheel.platform.HostListResult;
import dev.hornbeamwheel.platform.ListResult;
import dev.hornbeamwheel.platform.MemberStatusResult;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

/** The command {@code status}. */
final class Status {
  /** Cells of contract shares own no slices; only the JSON form shows them. */
  private static final String LIMITS = "limits:";

  private final CtlContext context;
  private final Changes changes;
  private final ObjectMapper json =
      JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

  Status(CtlContext context, Changes changes) {
    this.context = context;
    this.changes = changes;
  }

  CtlExitCode run(boolean asJson) {
    Optional<ConfigurationRow> current = changes.current();
    if (current.isEmpty()) {
      return CtlExitCode.PLATFORM_UNAVAILABLE;
    }
    ListResult rows = context.table().list("cell/").join();
    if (rows instanceof ListResult.Unavailable failure) {
      context.err().println(failure.message());
      return CtlExitCode.PLATFORM_UNAVAILABLE;
    }
    StatusReport report = report(current.get(), (ListResult.Rows) rows);
    if (asJson) {
      printJson(report);
    } else {
      print(report);
    }
    return CtlExitCode.OK;
  }

  private StatusReport report(ConfigurationRow current, ListResult.Rows rows) {
    Declarations declarations = current.configuration().declarations();
    return new StatusReport(
        current.version(),
        current.operator(),
        texts(declarations.drainedUpstreams()),
        texts(declarations.drainedDataCentres()),
        texts(declarations.lostDataCentres()),
        rows.rows().stream().map(row -> cell(UnreadableRowException.decode(row))).toList(),
        members());
  }

  private static StatusReport.Cell cell(CellRow row) {
    return new StatusReport.Cell(
        row.cell().toString(),
        row.version(),
        row.termNumber(),
        row.home().value(),
        row.assignments().stream()
            .collect(
                Collectors.groupingBy(
                    assignment -> assignment.owner().value(), TreeMap::new, Collectors.counting())),
        row.assignments().stream().filter(a -> a.previousOwner().isPresent()).count());
  }

  private List<StatusReport.Member> members() {
    HostListResult result = context.hosts().read().join();
    if (result instanceof HostListResult.Unavailable failure) {
      context.err().println(failure.message());
      return List.of();
    }
    List<CompletableFuture<StatusReport.Member>> asked =
        ((HostListResult.Hosts) result)
            .hosts().stream()
                .flatMap(host -> host.members().stream().map(member -> ask(host, member)))
                .toList();
    return asked.stream().map(CompletableFuture::join).toList();
  }

  private CompletableFuture<StatusReport.Member> ask(HostEntry host, HostEntry.Member member) {
    return context
        .pages()
        .status(member.operatorAddress())
        .thenApply(page -> member(host, member, page));
  }

  private StatusReport.Member member(
      HostEntry host, HostEntry.Member member, MemberStatusResult page) {
    String id = member.id().value();
    String dataCentre = host.dataCentre().value();
    if (page instanceof MemberStatusResult.Unreachable failure) {
      return new StatusReport.Member(id, dataCentre, host.leaving(), failure.detail(), null);
    }
    try {
      return new StatusReport.Member(
          id,
          dataCentre,
          host.leaving(),
          "",
          json.readTree(((MemberStatusResult.Received) page).json()));
    } catch (JsonProcessingException e) {
      return new StatusReport.Member(
          id, dataCentre, host.leaving(), "the page is no JSON document", null);
    }
  }

  private void print(StatusReport report) {
    context.out().printf("configuration: version %d by %s%n", report.version(), report.operator());
    context.out().println("drained upstreams: " + report.drainedUpstreams());
    context.out().println("drained data centres: " + report.drainedDataCentres());
    context.out().println("lost data centres: " + report.lostDataCentres());
    report.cells().stream()
        .filter(cell -> !cell.cell().startsWith(LIMITS))
        .forEach(
            cell ->
                context
                    .out()
                    .printf(
                        "cell %s: home %s, term %d, row version %d, moving %d, slices %s%n",
                        cell.cell(),
                        cell.home(),
                        cell.term(),
                        cell.rowVersion(),
                        cell.moving(),
                        cell.slicesOf()));
    report.members().forEach(this::print);
  }

  private void print(StatusReport.Member member) {
    context
        .out()
        .printf(
            "member %s in %s%s: version %s%s%n",
            member.member(),
            member.dataCentre(),
            member.leaving() ? ", leaving" : "",
            member.version(),
            member.problem().isEmpty() ? "" : " (" + member.problem() + ")");
  }

  private void printJson(StatusReport report) {
    try {
      context.out().println(json.writeValueAsString(report));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a status has no JSON form", e);
    }
  }

  private static List<String> texts(Collection<?> ids) {
    return ids.stream().map(String::valueOf).sorted().toList();
  }
}
