package dev.hornbeamwheel.runtime.cli;

/** Exit codes of the long-running programs. */
public enum ExitCode {
  /** The program did what was asked, a shutdown by SIGTERM included. */
  OK(0, "success, also after a graceful shutdown"),
  /** An unexpected failure. */
  FAILURE(1, "unexpected failure, described by the last log line"),
  /** The command line was refused. */
  USAGE(2, "the command line was refused"),
  /** The settings were refused. */
  INVALID_SETTINGS(3, "the settings file was refused"),
  /** The program could not start, for instance because an address is in use. */
  START_FAILED(4, "the program could not start with these settings");

  private final int status;
  private final String meaning;

  ExitCode(int status, String meaning) {
    this.status = status;
    this.meaning = meaning;
  }

  /** Returns the status that the process exits with. */
  public int status() {
    return status;
  }

  /** Returns the meaning, for the help text. */
  public String meaning() {
    return meaning;
  }
}
