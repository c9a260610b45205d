package dev.hornbeamwheel.core.recovery;

import static org.assertj.core.api.Assertions.assertThat;

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
    assertThat(quarantine.contains(7)).isFalse();
    quarantine.add(crash(2), 0);
    assertThat(quarantine.contains(7)).isTrue();
  }

  @Test
  void acceptsAgainWhenTheEvidenceExpires() {
    quarantine.add(crash(1), 0);
    quarantine.add(crash(2), 0);
    quarantine.expire(Quarantine.EVIDENCE_TTL_MILLIS - 1);
    assertThat(quarantine.contains(7)).isTrue();
    quarantine.expire(Quarantine.EVIDENCE_TTL_MILLIS);
    assertThat(quarantine.contains(7)).isFalse();
  }

  @Test
  void acceptsAFingerprintThatAnUpstreamCompleted() {
    quarantine.add(crash(1), 0);
    quarantine.add(crash(2), 0);
    quarantine.add(new Evidence(7, upstream(3), Kind.COMPLETED, 0), 0);
    assertThat(quarantine.contains(7)).isFalse();
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
    assertThat(forward.contains(7)).isEqualTo(backward.contains(7));
  }

  private static Evidence crash(int number) {
    return new Evidence(7, upstream(number), Kind.CRASHED, 0);
  }

  private static UpstreamId upstream(int number) {
    return UpstreamId.of("order-desk-" + number);
  }
}
