package dev.hornbeamwheel.core.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.MemberId;
import java.util.List;
import org.junit.jupiter.api.Test;

final class ArbiterSearchTest {
  private static final MemberId A = MemberId.of("a");
  private static final MemberId B = MemberId.of("b");

  private final ArbiterSearch search = new ArbiterSearch();

  @Test
  void turnsToTheNextVoterWhenOneDoesNotAnswerInTime() {
    assertThat(search.arbiter()).isEmpty();
    search.voters(List.of(A, B));
    search.asked(100);
    search.asked(300);

    assertThat(search.turn(100 + ArbiterSearch.PATIENCE_MILLIS - 1)).isFalse();
    assertThat(search.turn(100 + ArbiterSearch.PATIENCE_MILLIS)).isTrue();
    assertThat(search.arbiter()).contains(B);
    assertThat(search.turn(10_000)).isFalse();
  }

  @Test
  void staysWithTheVoterThatAnswersWhileItIsOne() {
    search.voters(List.of(A, B));
    search.asked(100);
    search.answered(B);
    assertThat(search.turn(10_000)).isFalse();

    search.voters(List.of(B, A));
    assertThat(search.arbiter()).contains(B);
    search.voters(List.of(A));
    assertThat(search.arbiter()).contains(A);
  }
}
