package dev.hornbeamwheel.runtime.cli;

import dev.hornbeamwheel.runtime.settings.SettingsReader;
import dev.hornbeamwheel.runtime.settings.SettingsResult;
import java.io.PrintStream;
import java.nio.file.Path;

/**
 * Runs a program as its command line asks.
 *
 * <pre>{@code
 * public static void main(String[] args) throws InterruptedException {
 *   System.exit(ProgramRunner.of(new RouterProgram()).run(args).status());
 * }
 * }</pre>
 *
 * @param <S> the settings type of the program
 */
public final class ProgramRunner<S> {
  private final Program<S> program;
  private final PrintStream out;
  private final PrintStream err;

  private ProgramRunner(Program<S> program, PrintStream out, PrintStream err) {
    this.program = program;
    this.out = out;
    this.err = err;
  }

  /** Returns a runner that prints to the standard streams. */
  public static <S> ProgramRunner<S> of(Program<S> program) {
    return new ProgramRunner<>(program, System.out, System.err);
  }

  /** Returns a runner that prints to the given streams. */
  static <S> ProgramRunner<S> of(Program<S> program, PrintStream out, PrintStream err) {
    return new ProgramRunner<>(program, out, err);
  }

  /**
   * Carries out a command line; a run returns after its graceful shutdown.
   *
   * @return the exit code of the process
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public ExitCode run(String... args) throws InterruptedException {
    Command command = CommandParser.parse(args);
    if (command instanceof Command.Help) {
      out.print(CommandParser.help(program));
      return ExitCode.OK;
    }
    if (command instanceof Command.Version) {
      out.println(program.name() + " " + BuildVersion.read());
      return ExitCode.OK;
    }
    if (command instanceof Command.CheckSettings check) {
      return checkSettings(check.settings());
    }
    if (command instanceof Command.Run run) {
      return runProgram(run.settings());
    }
    err.println(((Command.Refused) command).problem());
    err.print(CommandParser.help(program));
    return ExitCode.USAGE;
  }

  private ExitCode checkSettings(Path file) {
    SettingsResult<S> result = SettingsReader.read(file, program::settings);
    if (result instanceof SettingsResult.Rejected<S> rejected) {
      err.println(rejected.error().message());
      return ExitCode.INVALID_SETTINGS;
    }
    out.println(file + ": valid settings of " + program.name());
    return ExitCode.OK;
  }

  private ExitCode runProgram(Path file) throws InterruptedException {
    SettingsResult<S> result = SettingsReader.read(file, program::settings);
    if (result instanceof SettingsResult.Rejected<S> rejected) {
      err.println(rejected.error().message());
      return ExitCode.INVALID_SETTINGS;
    }
    StartResult start = program.start(((SettingsResult.Accepted<S>) result).settings());
    if (start instanceof StartResult.Failed failed) {
      err.println(failed.error().message());
      return ExitCode.START_FAILED;
    }
    GracefulShutdown shutdown =
        new GracefulShutdown(((StartResult.Started) start).program(), program::flushLogs);
    shutdown.register();
    shutdown.await();
    return ExitCode.OK;
  }
}
