package dev.hornbeamwheel.core.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.recovery.Evidence.Kind;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

final class QuarantineTest {
  private final Quarantine quarantine = Quarantine.empty();

  @Test
  void refusesAfterTwoDistinctUpstreamsCrashed() {
    quarantine.add(crash(1), 0);
    quarantine.add(crash(1), 0);
    assertThat(quarantine.contains(7, 0)).isFalse();
    quarantine.add(crash(2), 0);
    assertThat(quarantine.contains(7, 0)).isTrue();
  }

  @Test
  void acceptsAgainWhenTheQuarantineEndsAndForgetsWhenTheEvidenceExpires() {
    quarantine.add(crash(1), 0);
    quarantine.add(crash(2), 0);
    assertThat(quarantine.contains(7, Quarantine.FIRST_DURATION_MILLIS - 1)).isTrue();
    assertThat(quarantine.contains(7, Quarantine.FIRST_DURATION_MILLIS)).isFalse();
    quarantine.expire(Quarantine.EVIDENCE_TTL_MILLIS - 1);
    assertThat(quarantine.isSuspect(7)).isTrue();
    quarantine.expire(Quarantine.EVIDENCE_TTL_MILLIS);
    assertThat(quarantine.isSuspect(7)).isFalse();
  }

  @Test
  void acceptsAFingerprintThatAnUpstreamCompleted() {
    quarantine.add(crash(1), 0);
    quarantine.add(crash(2), 0);
    quarantine.add(new Evidence(7, upstream(3), Kind.COMPLETED, 0), 0);
    assertThat(quarantine.contains(7, 0)).isFalse();
  }

  // Guards against a request that ends two upstreams more each time its quarantine ends.
  @Test
  void eachFurtherCrashDoublesTheQuarantine() {
    quarantine.add(crash(1), 0);
    quarantine.add(crash(2), 0);
    long again = Quarantine.FIRST_DURATION_MILLIS + 5;
    quarantine.add(crash(3), again);
    assertThat(quarantine.remainingMillis(7, again))
        .isEqualTo(2 * Quarantine.FIRST_DURATION_MILLIS);
  }

  // Guards against innocent requests that are refused for crashes long before their last full run.
  @Test
  void aCompletedRunVoidsEarlierCrashesOnly() {
    quarantine.add(crash(1), 0);
    quarantine.add(new Evidence(7, upstream(3), Kind.COMPLETED, 0), 10);
    quarantine.add(crash(2), 20);
    assertThat(quarantine.contains(7, 20)).isFalse();
    quarantine.add(crash(4), 30);
    assertThat(quarantine.contains(7, 30)).isTrue();
  }

  // Guards against an upstream that starts again under its id and counts once however often it
  // crashes.
  @Test
  void eachStartOfAnUpstreamCounts() {
    quarantine.add(crash(1), 0);
    UpstreamIncarnation restarted = new UpstreamIncarnation(upstream(1).id(), 2);
    quarantine.add(new Evidence(7, restarted, Kind.CRASHED, 0), 10);
    assertThat(quarantine.contains(7, 10)).isTrue();
  }

  // Guards against hosts that hear of a lift late and bring the earlier crashes back.
  @Test
  void evidenceFromBeforeALiftChangesNothing() {
    quarantine.add(crash(1), 0);
    quarantine.add(crash(2), 0);
    quarantine.add(Evidence.lifted(7), 100);
    quarantine.add(new Evidence(7, upstream(5), Kind.CRASHED, 60), 110);
    quarantine.add(new Evidence(7, upstream(6), Kind.CRASHED, 60), 110);
    assertThat(quarantine.contains(7, 110)).isFalse();
  }

  // Guards against memory that grows with the number of different requests.
  @Test
  void keepsABoundedNumberOfFingerprintsTheLatestOnes() {
    int many = 2 * Quarantine.MAX_FINGERPRINTS;
    for (int i = 0; i < many; i++) {
      quarantine.add(new Evidence(i, upstream(1), Kind.CRASHED, 0), i);
    }
    assertThat(quarantine.evidence(many)).hasSize(Quarantine.MAX_FINGERPRINTS);
    assertThat(quarantine.isSuspect(many - 1)).isTrue();
  }

  @Property(tries = 100, seed = "11")
  void givesTheSameResultForAnyOrderOfEvidence(
      @ForAll @Size(max = 6) List<@IntRange(min = 1, max = 4) Integer> upstreams) {
    Quarantine forward = Quarantine.empty();
    Quarantine backward = Quarantine.empty();
    upstreams.forEach(u -> forward.add(crash(u), 0));
    for (int i = upstreams.size() - 1; i >= 0; i--) {
      backward.add(crash(upstreams.get(i)), 0);
    }
    assertThat(forward.contains(7, 0)).isEqualTo(backward.contains(7, 0));
  }

  private static Evidence crash(int number) {
    return new Evidence(7, upstream(number), Kind.CRASHED, 0);
  }

  private static UpstreamIncarnation upstream(int number) {
    return new UpstreamIncarnation(UpstreamId.of("order-desk-" + number), 1);
  }
}
