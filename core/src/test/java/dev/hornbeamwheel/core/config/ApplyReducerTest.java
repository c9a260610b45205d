package dev.hornbeamwheel.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ApplyReducerTest {
  private static final long DEADLINE_MILLIS = 400;

  @Property(tries = 1000, seed = "43")
  void eachVersionHasOneWinnerAndEveryOperatorIsToldTheTruth(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 6) int operators) {
    assertThat(new Race(seed, operators, true).run()).isEmpty();
  }

  @Test
  void writingWithoutTheConditionIsCaught() {
    long caught =
        IntStream.range(0, 50).filter(seed -> !new Race(seed, 3, false).run().isEmpty()).count();
    assertThat(caught).isPositive();
  }

  @Test
  void loserIsToldWhoWonAndHowToRedo() {
    ApplyReducer apply = ApplyReducer.of(4, Declarations.empty(), "maelle", "op-1", 1000);
    ConfigurationRow found =
        new ConfigurationRow(
            new Configuration(5, Declarations.empty()), "somchai", List.of("op-2"));
    ApplyEffect.Finished finished =
        (ApplyEffect.Finished) apply.reduce(new ApplyEvent.RowRead(0, found)).get(0);
    assertThat(finished.result().message()).contains("somchai", "version 5", "diff", "again");
  }

  /** Operators that planned against the same version, on a table that loses answers. */
  private static final class Race {
    private final Random random;
    private final boolean conditional;
    private final List<Operator> operators;
    private final List<String> history = new ArrayList<>();
    private ConfigurationRow row = ConfigurationRow.initial();

    Race(long seed, int count, boolean conditional) {
      this.random = new Random(seed);
      this.conditional = conditional;
      this.operators = IntStream.range(0, count).mapToObj(Operator::new).toList();
    }

    List<String> run() {
      for (long now = 0; now < 2 * DEADLINE_MILLIS; now++) {
        operators.get(random.nextInt(operators.size())).step(now);
      }
      return operators.stream().flatMap(operator -> operator.lies().stream()).toList();
    }

    private final class Operator {
      final String id;
      final ApplyReducer reducer;
      final Deque<ApplyEffect> pending = new ArrayDeque<>();
      ApplyResult result;

      Operator(int index) {
        this.id = "operator-" + index;
        this.reducer = ApplyReducer.of(0, Declarations.empty(), id, id, DEADLINE_MILLIS);
      }

      void step(long now) {
        ApplyEffect effect = pending.poll();
        if (effect == null) {
          pending.addAll(reducer.reduce(new ApplyEvent.Tick(now)));
        } else if (effect instanceof ApplyEffect.Finished finished) {
          result = finished.result();
        } else {
          ApplyEvent answer = perform(effect, now);
          boolean lost = random.nextInt(3) == 0;
          pending.addAll(reducer.reduce(lost ? new ApplyEvent.Unanswered(now) : answer));
        }
      }

      private ApplyEvent perform(ApplyEffect effect, long now) {
        if (!(effect instanceof ApplyEffect.WriteRow write)) {
          return new ApplyEvent.RowRead(now, row);
        }
        if (conditional && row.version() != write.expectedVersion()) {
          return new ApplyEvent.Conflicted(now);
        }
        row = write.row();
        history.add(id);
        return new ApplyEvent.Written(now);
      }

      List<String> lies() {
        long written = history.stream().filter(id::equals).count();
        boolean won = row.operator().equals(id);
        if (result instanceof ApplyResult.Applied && (written != 1 || !won)) {
          return List.of(id + " was told that it had won");
        }
        return result instanceof ApplyResult.Superseded && written != 0
            ? List.of(id + " was told that nothing was written")
            : List.of();
      }
    }
  }
}
