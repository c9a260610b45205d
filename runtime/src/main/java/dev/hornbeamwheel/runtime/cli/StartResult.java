package dev.hornbeamwheel.runtime.cli;

/** Outcome of starting a program. */
public sealed interface StartResult {
  /** The program serves. */
  record Started(RunningProgram program) implements StartResult {}

  /** The program could not start and holds nothing open. */
  record Failed(StartError error) implements StartResult {}
}
