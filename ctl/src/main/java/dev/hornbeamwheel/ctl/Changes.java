package dev.hornbeamwheel.ctl;

import dev.hornbeamwheel.core.config.ApplyResult;
import dev.hornbeamwheel.core.config.ConfigurationRow;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.platform.declarations.DeclarationError;
import dev.hornbeamwheel.platform.declarations.DeclarationsReader;
import dev.hornbeamwheel.platform.declarations.DeclarationsResult;
import dev.hornbeamwheel.platform.store.ApplyReport;
import dev.hornbeamwheel.platform.store.ConfigurationApply;
import dev.hornbeamwheel.platform.store.ConfigurationReadResult;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/** The commands that read or change the configuration. */
final class Changes {
  private static final String PAGE = "docs/TROUBLESHOOTING.md#";

  private final CtlContext context;

  Changes(CtlContext context) {
    this.context = context;
  }

  CtlExitCode validate(Path directory) {
    Optional<Declarations> declarations = read(directory);
    declarations.ifPresent(
        valid ->
            context
                .out()
                .printf(
                    "%s: valid; %d data centres, %d services, %d upstreams, %d contracts%n",
                    directory,
                    valid.dataCentres().size(),
                    valid.services().size(),
                    valid.upstreams().size(),
                    valid.contracts().size()));
    return declarations.isPresent() ? CtlExitCode.OK : CtlExitCode.INVALID_DECLARATIONS;
  }

  CtlExitCode diff(Path directory) {
    Optional<Declarations> declared = read(directory);
    if (declared.isEmpty()) {
      return CtlExitCode.INVALID_DECLARATIONS;
    }
    Optional<ConfigurationRow> current = current();
    if (current.isEmpty()) {
      return CtlExitCode.PLATFORM_UNAVAILABLE;
    }
    Declarations before = current.get().configuration().declarations();
    print(DeclarationsDiff.lines(before, Removals.keep(declared.get(), before)));
    context.out().printf("planned against version %d%n", current.get().version());
    return CtlExitCode.OK;
  }

  CtlExitCode apply(Path directory, Optional<Long> planned) throws InterruptedException {
    Optional<Declarations> declared = read(directory);
    return declared.isEmpty()
        ? CtlExitCode.INVALID_DECLARATIONS
        : change(planned, before -> Removals.keep(declared.get(), before), before -> true, "");
  }

  /**
   * Changes the declarations in force.
   *
   * @param declares whether the declarations know the name that the command is about
   * @param name the name, for the message if they do not
   */
  CtlExitCode change(
      Optional<Long> planned,
      UnaryOperator<Declarations> edit,
      Predicate<Declarations> declares,
      String name)
      throws InterruptedException {
    Optional<ConfigurationRow> current = current();
    if (current.isEmpty()) {
      return CtlExitCode.PLATFORM_UNAVAILABLE;
    }
    Declarations before = current.get().configuration().declarations();
    if (!declares.test(before)) {
      return unknown(name);
    }
    Declarations after = edit.apply(before);
    List<String> lines = DeclarationsDiff.lines(before, after);
    long version = planned.orElse(current.get().version());
    if (lines.isEmpty() && version == current.get().version()) {
      context.out().printf("nothing to change at version %d%n", version);
      return CtlExitCode.OK;
    }
    print(lines);
    return report(
        ConfigurationApply.of(context.configurations(), context.clock())
            .run(version, after, context.operator(), context.patienceMillis()));
  }

  /** Reads the configuration in force; empty if the platform does not answer. */
  Optional<ConfigurationRow> current() {
    ConfigurationReadResult result = context.configurations().read(-1).join();
    if (result instanceof ConfigurationReadResult.Current current) {
      return Optional.of(current.row());
    }
    if (result instanceof ConfigurationReadResult.Unavailable failure) {
      context.err().println(failure.message());
    }
    return Optional.empty();
  }

  CtlExitCode unknown(String name) {
    context
        .err()
        .printf(
            "%s is not declared; run status for the names that are (%sctl-unknown-name)%n",
            name, PAGE);
    return CtlExitCode.UNKNOWN_NAME;
  }

  private CtlExitCode report(ApplyReport report) {
    ApplyResult result = report.result();
    if (result instanceof ApplyResult.Applied) {
      context.out().println(result.message());
      return CtlExitCode.OK;
    }
    if (result instanceof ApplyResult.Refused refused) {
      refused.problems().forEach(problem -> context.err().println(problem.message()));
      return CtlExitCode.INVALID_DECLARATIONS;
    }
    if (result instanceof ApplyResult.Superseded) {
      context.err().println(result.message() + " (" + PAGE + "apply-lost-race)");
      return CtlExitCode.LOST_RACE;
    }
    if (report.writeInDoubt()) {
      context.err().println(result.message() + " (" + PAGE + "apply-outcome-unknown)");
      return CtlExitCode.OUTCOME_UNKNOWN;
    }
    context
        .err()
        .println(
            "nothing was changed: "
                + report.lastFailure()
                + "; apply again when the platform is back ("
                + PAGE
                + "apply-not-applied)");
    return CtlExitCode.PLATFORM_UNAVAILABLE;
  }

  private Optional<Declarations> read(Path directory) {
    DeclarationsResult result = DeclarationsReader.create().read(directory);
    if (result instanceof DeclarationsResult.Invalid refused) {
      refused.errors().stream().map(DeclarationError::message).forEach(context.err()::println);
      return Optional.empty();
    }
    return Optional.of(((DeclarationsResult.Valid) result).declarations());
  }

  private void print(List<String> lines) {
    lines.forEach(context.out()::println);
  }
}
