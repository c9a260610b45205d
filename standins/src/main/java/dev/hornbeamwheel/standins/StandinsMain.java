package dev.hornbeamwheel.standins;

import dev.hornbeamwheel.runtime.cli.ProgramRunner;

/** Starts the stand-ins. */
public final class StandinsMain {
  private StandinsMain() {}

  /** Runs the program until SIGTERM. */
  public static void main(String[] args) throws InterruptedException {
    System.exit(ProgramRunner.of(new StandinsProgram()).run(args).status());
  }
}
