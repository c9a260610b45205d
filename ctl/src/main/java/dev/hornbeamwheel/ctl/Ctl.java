package dev.hornbeamwheel.ctl;

import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.platform.http.HttpPlatform;
import dev.hornbeamwheel.platform.store.ConfigurationStore;
import dev.hornbeamwheel.runtime.cli.BuildVersion;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Optional;
import java.util.function.UnaryOperator;

/**
 * Carries out a command line of {@code hornbeamwheelctl}.
 *
 * <pre>{@code
 * CtlExitCode code = Ctl.printingTo(System.out, System.err).run("validate", "examples/kerbriant");
 * }</pre>
 */
public final class Ctl {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

  private final PrintStream out;
  private final PrintStream err;

  private Ctl(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** Returns the command, which prints to the given streams. */
  public static Ctl printingTo(PrintStream out, PrintStream err) {
    return new Ctl(out, err);
  }

  /**
   * Carries out a command line.
   *
   * @throws InterruptedException if the thread is interrupted while it waits for the platform
   */
  public CtlExitCode run(String... args) throws InterruptedException {
    CtlCommandLine.Parsed parsed = CtlCommandLine.parse(args);
    if (parsed.command() instanceof CtlCommand.Refused refused) {
      err.println(refused.problem());
      err.print(CtlCommandLine.help());
      return CtlExitCode.USAGE;
    }
    if (parsed.command() instanceof CtlCommand.Help) {
      out.print(CtlCommandLine.help());
      return CtlExitCode.OK;
    }
    if (parsed.command() instanceof CtlCommand.Version) {
      out.println("hornbeamwheelctl " + BuildVersion.read());
      return CtlExitCode.OK;
    }
    if (parsed.command() instanceof CtlCommand.ExplainRequest request) {
      return ExplainRequest.run(request.attemptId(), request.files(), out, err);
    }
    if (parsed.command() instanceof CtlCommand.ExplainRoute route) {
      return ExplainRoute.run(route, out, err);
    }
    try (HttpPlatform platform =
        HttpPlatform.create(parsed.options().platform(), REQUEST_TIMEOUT)) {
      return carryOut(parsed.command(), context(platform, parsed.options()));
    } catch (UnreadableRowException e) {
      err.println(e.getMessage());
      return CtlExitCode.FAILURE;
    }
  }

  private CtlContext context(HttpPlatform platform, CtlOptions options) {
    return new CtlContext(
        ConfigurationStore.of(platform.table(), platform.objectStore()),
        platform.table(),
        platform.hostList(),
        platform.memberStatus(),
        Clock.monotonic(),
        options.operator(),
        options.patienceMillis(),
        out,
        err);
  }

  private static CtlExitCode carryOut(CtlCommand command, CtlContext context)
      throws InterruptedException {
    Changes changes = new Changes(context);
    if (command instanceof CtlCommand.Validate validate) {
      return changes.validate(validate.directory());
    }
    if (command instanceof CtlCommand.Diff diff) {
      return changes.diff(diff.directory());
    }
    if (command instanceof CtlCommand.Apply apply) {
      return changes.apply(apply.directory(), apply.planned());
    }
    if (command instanceof CtlCommand.Status status) {
      return new Status(context, changes).run(status.json());
    }
    if (command instanceof CtlCommand.Explain explain) {
      return new Explain(context, changes).run(explain.service(), explain.key());
    }
    return remove(command, changes);
  }

  private static CtlExitCode remove(CtlCommand command, Changes changes)
      throws InterruptedException {
    if (command instanceof CtlCommand.DrainUpstream drain) {
      return ofUpstream(
          changes, drain.upstream(), d -> Removals.drainUpstream(d, drain.upstream()));
    }
    if (command instanceof CtlCommand.ReturnUpstream back) {
      return ofUpstream(changes, back.upstream(), d -> Removals.returnUpstream(d, back.upstream()));
    }
    if (command instanceof CtlCommand.DrainDataCentre drain) {
      return ofDataCentre(
          changes, drain.dataCentre(), d -> Removals.drainDataCentre(d, drain.dataCentre()));
    }
    if (command instanceof CtlCommand.ReturnDataCentre back) {
      return ofDataCentre(
          changes, back.dataCentre(), d -> Removals.returnDataCentre(d, back.dataCentre()));
    }
    DataCentreId lost = ((CtlCommand.DeclareLost) command).dataCentre();
    return ofDataCentre(changes, lost, d -> Removals.declareLost(d, lost));
  }

  private static CtlExitCode ofUpstream(
      Changes changes, UpstreamId id, UnaryOperator<Declarations> edit)
      throws InterruptedException {
    return changes.change(
        Optional.empty(),
        edit,
        declared -> declared.upstreams().stream().anyMatch(u -> u.id().equals(id)),
        "upstream " + id);
  }

  private static CtlExitCode ofDataCentre(
      Changes changes, DataCentreId id, UnaryOperator<Declarations> edit)
      throws InterruptedException {
    return changes.change(
        Optional.empty(),
        edit,
        declared -> declared.dataCentres().stream().anyMatch(d -> d.id().equals(id)),
        "data centre " + id);
  }
}
