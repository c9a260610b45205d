package dev.hornbeamwheel.e2e;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Steps that hurt a fleet under load, each followed by time to recover. */
final class Drill {
  /** Longest time that a step waits for all keys to be served before it starts. */
  private static final long AWAIT_MILLIS = 30_000;

  /** Time for which the load runs undisturbed after each step, in milliseconds. */
  private final long recoveryMillis;

  private final Fleet fleet;
  private final Load load;
  private final PrintStream out;

  Drill(Fleet fleet, Load load, long recoveryMillis, PrintStream out) {
    this.fleet = fleet;
    this.load = load;
    this.recoveryMillis = recoveryMillis;
    this.out = out;
  }

  /** A step of a drill. */
  interface Step {
    void run() throws IOException, InterruptedException;
  }

  /** Runs all steps. */
  void all() throws IOException, InterruptedException {
    step("no fault", () -> {});
    safetySteps();
    step("router frozen for 3 s", () -> freezeForAWhile("north-3-router"));
    step("controller frozen for 3 s", () -> freezeForAWhile("south-3-controller"));
    step("upstream crashed", () -> fleet.fault(upstream("crash", "ledger-south-2")));
    step("upstream drained", () -> fleet.ctl("drain", "upstream", "ledger-south-1"));
    step("upstream returned", () -> fleet.ctl("return", "upstream", "ledger-south-1"));
    step("data centre drained", () -> fleet.ctl("drain", "data-centre", "south"));
    step("data centre returned", () -> fleet.ctl("return", "data-centre", "south"));
  }

  /** Runs the steps of the short drill. */
  void safetySteps() throws IOException, InterruptedException {
    step("controller killed", () -> fleet.process("north-1-controller").kill());
    step("upstream frozen for 3 s", () -> freezeUpstream("ledger-north-1"));
    step("router killed", () -> fleet.process("south-2-router").kill());
    step("platform down for 3 s", this::platformDown);
  }

  private void step(String name, Step step) throws IOException, InterruptedException {
    load.awaitAllServed(AWAIT_MILLIS);
    load.restartGaps();
    load.awaitAllServed(AWAIT_MILLIS);
    step.run();
    TimeUnit.MILLISECONDS.sleep(recoveryMillis);
    out.printf("%-28s longest gap of a key %5d ms%n", name, load.longestGapMillis());
  }

  private void freezeForAWhile(String process) throws IOException, InterruptedException {
    fleet.process(process).freeze();
    TimeUnit.SECONDS.sleep(3);
    fleet.process(process).thaw();
  }

  private void freezeUpstream(String name) throws IOException, InterruptedException {
    fleet.fault("{\"type\": \"freeze\", \"upstream\": \"%s\"}".formatted(name));
    TimeUnit.SECONDS.sleep(3);
    fleet.fault("{\"type\": \"thaw\", \"upstream\": \"%s\"}".formatted(name));
  }

  private void platformDown() throws IOException, InterruptedException {
    fleet.fault("{\"type\": \"platform-down\", \"entrance\": \"all\", \"mode\": \"refuse\"}");
    TimeUnit.SECONDS.sleep(3);
    fleet.fault("{\"type\": \"platform-up\", \"entrance\": \"all\"}");
  }

  private static String upstream(String type, String name) {
    return "{\"type\": \"%s\", \"upstream\": \"%s\", \"restartAfterMillis\": 1000}"
        .formatted(type, name);
  }

  /** Returns the callers' addresses of all routers of a fleet. */
  static List<String> routers(Fleet fleet) {
    return fleet.hosts().stream().map(FleetFiles.Host::callers).toList();
  }
}
