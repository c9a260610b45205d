package dev.hornbeamwheel.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.config.ColdStart;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Verifies that each oracle detects a reducer with an injected fault. */
final class RoutingOraclesTest {
  private static final int SEEDS = 12;
  private static final ColdStart UNLIMITED = new ColdStart(10_000, 10_000, 1);

  @ParameterizedTest
  @CsvSource({
    "RETRY_AFTER_BYTES_SENT, ran 2 times",
    "RUN_BEFORE_MAJORITY, ran 1",
    "CLAIM_NOT_RUN, told not run",
    "PASS_SHORT_ANSWERS, not the whole answer",
    "IGNORE_DRAIN, new work after drain",
    "NO_QUARANTINE, ran after two crashes",
    "CUT_AT_STOP, cut by stop"
  })
  void catchBrokenReducer(RoutingFaults fault, String violation) {
    assertThat(violations(fault, RoutingSimulation.UPSTREAM_COLD_START))
        .anyMatch(v -> v.startsWith(violation));
  }

  @Test
  void catchSkippedRamp() {
    assertThat(violations(RoutingFaults.NONE, UNLIMITED)).anyMatch(v -> v.contains(" > "));
  }

  @Test
  void findNothingInSoundReducer() {
    assertThat(violations(RoutingFaults.NONE, RoutingSimulation.UPSTREAM_COLD_START)).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void crashingRequestTakesAtMostTwoUpstreamsWithoutOtherFaults(long seed) {
    FaultySimulation simulation =
        new FaultySimulation(seed, RoutingFaults.NONE, RoutingSimulation.UPSTREAM_COLD_START);
    simulation.advance(1_000);
    simulation.sendCrashingRequests(0);
    simulation.advance(8_000);
    assertThat(simulation.history.crashedBy.values()).allMatch(crashed -> crashed.size() <= 2);
    assertThat(simulation.history.runs).hasSizeBetween(1, 2);
  }

  private static List<String> violations(RoutingFaults fault, ColdStart declaredColdStart) {
    List<String> found = new ArrayList<>();
    IntStream.range(0, SEEDS)
        .forEach(seed -> found.addAll(exercise(seed, fault, declaredColdStart)));
    return found;
  }

  private static List<String> exercise(
      long seed, RoutingFaults fault, ColdStart declaredColdStart) {
    FaultySimulation simulation = new FaultySimulation(seed, fault, declaredColdStart);
    simulation.advance(1_000);
    simulation.lookups(100);
    simulation.sendCrashingRequests(0);
    simulation.drainUpstream();
    for (int round = 0; round < 60; round++) {
      simulation.lookups(8);
      simulation.keyed("mill-" + round % 10);
      simulation.orders(round % 10);
      simulation.orderWithoutKey();
      simulation.injectResponseFault(1 + round % 4);
      if (round % 20 == 7) {
        simulation.stopRouter();
      }
      simulation.advance(100);
    }
    simulation.advance(6_000);
    return simulation.violations();
  }
}
