package dev.hornbeamwheel.e2e;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/** Starts real processes, hurts them and judges safety alone; speed is judged nowhere. */
class DrillTest {
  private static final long RECOVERY_MILLIS = 4_000;
  private static final int COMPLETED_AT_LEAST = 1;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  Path directory;

  @Test
  void noFaultOfTheShortDrillBreaksAPromise() throws IOException, InterruptedException {
    Fleet fleet = Fleet.start(directory);
    try {
      Load load = Load.start(Drill.routers(fleet));
      try {
        new Drill(fleet, load, RECOVERY_MILLIS, System.out).safetySteps();
      } finally {
        load.stop();
      }
      System.out.println(load.outcomes() + " " + fleet.runsSummary());
      assertSafe(fleet, load);
    } finally {
      fleet.stop();
    }
  }

  private static void assertSafe(Fleet fleet, Load load) throws IOException {
    ObjectMapper json = new ObjectMapper();
    JsonNode summary = json.readTree(fleet.runsSummary());
    assertThat(summary.required("repeatedKeys")).isEmpty();
    assertThat(summary.required("overlappingRuns")).isEmpty();
    assertThat(summary.required("doubleHoldings")).isEmpty();
    List<String> ran = json.readTree(fleet.runs()).findValuesAsText("idempotencyKey");
    assertThat(load.acknowledged()).hasSizeGreaterThanOrEqualTo(COMPLETED_AT_LEAST);
    assertThat(ran).containsAll(load.acknowledged()).doesNotContainAnyElementsOf(load.notRun());
  }
}
