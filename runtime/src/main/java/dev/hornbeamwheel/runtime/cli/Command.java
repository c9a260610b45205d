package dev.hornbeamwheel.runtime.cli;

import java.nio.file.Path;

/** What a command line asks for. */
sealed interface Command {
  /** Print the help text. */
  record Help() implements Command {}

  /** Print the version. */
  record Version() implements Command {}

  /** Check the settings file and exit. */
  record CheckSettings(Path settings) implements Command {}

  /** Run until SIGTERM. */
  record Run(Path settings) implements Command {}

  /** The command line was refused. */
  record Refused(String problem) implements Command {}
}
