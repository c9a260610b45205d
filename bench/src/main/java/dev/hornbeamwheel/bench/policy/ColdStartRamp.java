package dev.hornbeamwheel.bench.policy;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.dispatch.DispatchPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/** Measures what freshly started upstreams are sent against what they bear. */
final class ColdStartRamp {
  private static final int UPSTREAMS = 10;
  private static final ColdStart BEARS = new ColdStart(10, 90, 5_000);
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long SETTLED_MICROS = 60 * MICROS_PER_SECOND;
  private static final long END_MICROS = 100 * MICROS_PER_SECOND;
  private static final double LOAD = 0.7;

  /** Share of the full rate's demand at which an upstream counts as back at full speed. */
  private static final double FULL_SHARE = 0.9;

  private final EventQueue time = new EventQueue();
  private final List<SimulatedUpstream> upstreams = new ArrayList<>();
  private final List<List<Long>> sent = new ArrayList<>();
  private final long[] firstCompletion = new long[UPSTREAMS];
  private final long[] incarnations = new long[UPSTREAMS];
  private final Random random;
  private long refused;
  private long requests;

  private ColdStartRamp(long seed) {
    random = new Random(seed);
    for (int i = 0; i < UPSTREAMS; i++) {
      upstreams.add(new SimulatedUpstream(time, new Random(seed * 1_000 + i)));
      sent.add(new ArrayList<>());
      incarnations[i] = 1;
    }
  }

  static void print(long firstSeed, int seeds) {
    System.out.printf(
        "%nCold start: %d upstreams, %s, load %.1f, seeds %d to %d%n",
        UPSTREAMS, BEARS, LOAD, firstSeed, firstSeed + seeds - 1);
    System.out.println(
        "| cold at once | most sent over what is borne in a second | full speed after ms, ideal "
            + BEARS.warmUpMillis()
            + " | refused % |");
    System.out.println("| --- | --- | --- | --- |");
    for (int cold : new int[] {1, UPSTREAMS / 2}) {
      for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
        new ColdStartRamp(seed).run(cold);
      }
    }
  }

  private void run(int cold) {
    LeasedVariant variant =
        new LeasedVariant(
            time, UPSTREAMS, BEARS, DispatchPolicy.REUSE, random.nextLong(), this::call);
    variant.incarnations(i -> incarnations[i]);
    arrive(variant);
    time.runUntil(SETTLED_MICROS);
    IntStream.range(0, cold).forEach(this::restart);
    time.runUntil(END_MICROS);
    double worst = IntStream.range(0, cold).mapToDouble(this::worstShare).max().orElse(0);
    double slowest = IntStream.range(0, cold).mapToDouble(this::fullAfterMillis).max().orElse(0);
    System.out.printf(
        "| %d | %.2f | %.0f | %.2f |%n", cold, worst, slowest, 100.0 * refused / requests);
  }

  private void restart(int upstream) {
    incarnations[upstream]++;
    sent.get(upstream).clear();
    firstCompletion[upstream] = 0;
  }

  private Runnable call(int upstream, Consumer<Boolean> answer) {
    sent.get(upstream).add(time.nowMicros());
    return upstreams
            .get(upstream)
            .call(
                ok -> {
                  if (firstCompletion[upstream] == 0) {
                    firstCompletion[upstream] = time.nowMicros();
                  }
                  answer.accept(ok);
                })
        ::cancel;
  }

  private void arrive(Variant variant) {
    double gap = Workload.MEAN_SERVICE_MICROS / (LOAD * UPSTREAMS * Workload.SLOTS);
    time.after(
        (long) (-Math.log(1 - random.nextDouble()) * gap),
        () -> {
          boolean counts = time.nowMicros() >= SETTLED_MICROS;
          requests += counts ? 1 : 0;
          variant.request(
              random.nextInt(Workload.ROUTERS), () -> {}, () -> refused += counts ? 1 : 0);
          arrive(variant);
        });
  }

  /** Returns the greatest share of what an upstream bears that it was sent in any second. */
  private double worstShare(int upstream) {
    double worst = 0;
    List<Long> at = sent.get(upstream);
    for (int first = 0; first < at.size(); first++) {
      long from = at.get(first);
      long count = at.stream().filter(t -> t >= from && t < from + MICROS_PER_SECOND).count();
      double borne = borne(upstream, from + MICROS_PER_SECOND);
      worst = borne < BEARS.fullRatePerSecond() ? Math.max(worst, count / borne) : worst;
    }
    return worst;
  }

  private double borne(int upstream, long atMicros) {
    double warmMillis = (atMicros - firstCompletion[upstream]) / 1_000.0;
    double span = BEARS.fullRatePerSecond() - BEARS.initialRatePerSecond();
    double rate =
        BEARS.initialRatePerSecond() + span * Math.max(0, warmMillis) / BEARS.warmUpMillis();
    return Math.min(rate, BEARS.fullRatePerSecond());
  }

  /** Returns when an upstream first served its share of the load for a second. */
  private double fullAfterMillis(int upstream) {
    double share = LOAD * Workload.SLOTS * MICROS_PER_SECOND / Workload.MEAN_SERVICE_MICROS;
    for (long from : sent.get(upstream)) {
      long count =
          sent.get(upstream).stream()
              .filter(t -> t >= from && t < from + MICROS_PER_SECOND)
              .count();
      if (count >= FULL_SHARE * share) {
        return (from - SETTLED_MICROS) / 1_000.0;
      }
    }
    return Double.POSITIVE_INFINITY;
  }
}
