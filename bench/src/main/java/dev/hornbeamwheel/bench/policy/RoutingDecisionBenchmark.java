package dev.hornbeamwheel.bench.policy;

import dev.hornbeamwheel.core.routing.RoutingEffect;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Times one keyed request through the routing reducer at 131,072 shards, its answer included. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
@Fork(2)
public class RoutingDecisionBenchmark {
  private final RoutingDecision decision = new RoutingDecision();

  /** Routes one request and takes its answer in. */
  @Benchmark
  public List<RoutingEffect> routeAndAnswer() {
    return decision.routeAndAnswer();
  }
}
