package dev.hornbeamwheel.core.config;

import java.util.List;

/** How an operator's apply ended. */
public sealed interface ApplyResult {
  /** Returns what happened and what to do next, in one sentence or two. */
  String message();

  /** The declarations are the configuration of this version. */
  record Applied(long version) implements ApplyResult {
    @Override
    public String message() {
      return "applied as version " + version;
    }
  }

  /** Another operator's apply came first, and nothing was written. */
  record Superseded(long plannedVersion, long winnerVersion, String winner) implements ApplyResult {
    @Override
    public String message() {
      return "planned against version %d, but %s applied version %d first; nothing was written. "
              .formatted(
                  plannedVersion, winner.isEmpty() ? "another operator" : winner, winnerVersion)
          + "Run diff against version %d, check the result, and apply again"
              .formatted(winnerVersion);
    }
  }

  /** The declarations have problems, and nothing was written. */
  record Refused(List<DeclarationProblem> problems) implements ApplyResult {
    /** Copies the list. */
    public Refused {
      problems = List.copyOf(problems);
    }

    @Override
    public String message() {
      return "%d problem(s) in the declarations; nothing was written. Run validate for the list"
          .formatted(problems.size());
    }
  }

  /** The table did not answer in time; whether the write stands is not known. */
  record OutcomeUnknown(long plannedVersion) implements ApplyResult {
    @Override
    public String message() {
      return "the platform did not answer, so the write against version %d may or may not stand. "
              .formatted(plannedVersion)
          + "Run status once the platform answers, and apply again if the version is unchanged";
    }
  }
}
