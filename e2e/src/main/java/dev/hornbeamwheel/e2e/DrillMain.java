package dev.hornbeamwheel.e2e;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.TreeMap;

/** The command {@code bin/drill}: runs the whole drill and prints what callers met. */
public final class DrillMain {
  /** Time for which the load runs undisturbed after each step, in milliseconds. */
  private static final long RECOVERY_MILLIS = 8_000;

  private DrillMain() {}

  /** Runs the drill in a new directory, which keeps the logs. */
  public static void main(String... args) throws IOException, InterruptedException {
    Path directory = Files.createTempDirectory("drill");
    Fleet fleet = Fleet.start(directory);
    try {
      run(fleet);
    } finally {
      fleet.stop();
    }
  }

  private static void run(Fleet fleet) throws IOException, InterruptedException {
    Load load = Load.start(Drill.routers(fleet));
    try {
      new Drill(fleet, load, RECOVERY_MILLIS, System.out).all();
    } finally {
      load.stop();
    }
    new TreeMap<>(load.outcomes())
        .forEach((outcome, count) -> System.out.printf("%-24s %s%n", outcome, count));
    System.out.println(fleet.runsSummary());
  }
}
