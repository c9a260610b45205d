package dev.hornbeamwheel.ctl;

/** Exit codes of {@code hornbeamwheelctl}, as docs/CTL.md lists them. */
public enum CtlExitCode {
  /** The command did what was asked. */
  OK(0, "success"),
  /** An unexpected failure. */
  FAILURE(1, "unexpected failure"),
  /** The command line was refused. */
  USAGE(2, "the command line was refused"),
  /** The declarations were refused, and nothing was changed. */
  INVALID_DECLARATIONS(3, "the declarations were refused; nothing was changed"),
  /** Another operator was first, and nothing was changed. */
  LOST_RACE(4, "another operator was first; nothing was changed"),
  /** The platform did not answer, and nothing was changed. */
  PLATFORM_UNAVAILABLE(5, "the platform did not answer; nothing was changed"),
  /** Whether the change stands is not known. */
  OUTCOME_UNKNOWN(6, "whether the change stands is not known"),
  /** A name is not declared. */
  UNKNOWN_NAME(7, "a service, upstream or data centre is not declared");

  private final int status;
  private final String meaning;

  CtlExitCode(int status, String meaning) {
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
