package dev.hornbeamwheel.bench.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.function.IntUnaryOperator;

/** Baselines: choices that each router makes alone, and forwarding through one dispatcher. */
final class SimpleVariants {
  private static final int PROBES = 2;
  private static final int MAX_TRIES = 3;

  private final EventQueue time;
  private final Random random;
  private final List<SimulatedUpstream> upstreams;
  private long messages;

  SimpleVariants(EventQueue time, Random random, List<SimulatedUpstream> upstreams) {
    this.time = time;
    this.random = random;
    this.upstreams = upstreams;
  }

  Variant random() {
    return direct(router -> random.nextInt(upstreams.size()), 0, 0);
  }

  /** Compares the router's own requests in flight. */
  Variant twoChoicesLocal() {
    int[][] local = new int[Workload.ROUTERS][upstreams.size()];
    return counted(local, router -> better(i -> local[router][i]));
  }

  /** Compares the upstreams' load reports, which are late. */
  Variant twoChoicesReports() {
    return direct(router -> better(i -> upstreams.get(i).reportedInFlight), 0, 0);
  }

  /** Compares what two probed upstreams have in flight now. */
  Variant probing() {
    return direct(
        router -> better(i -> upstreams.get(i).inFlight()), 2 * PROBES, 2 * Workload.HOP_MICROS);
  }

  /** Sends every request through one process that binds it to a free slot. */
  Variant forwarding() {
    return new Forwarding();
  }

  private int better(IntUnaryOperator load) {
    int one = random.nextInt(upstreams.size());
    int other = random.nextInt(upstreams.size());
    return load.applyAsInt(one) <= load.applyAsInt(other) ? one : other;
  }

  private Variant direct(IntUnaryOperator choice, int messagesEach, long delayMicros) {
    return new Variant() {
      @Override
      public void request(int router, Runnable answered, Runnable refused) {
        attempt(router, 1, answered, refused);
      }

      private void attempt(int router, int number, Runnable answered, Runnable refused) {
        messages += messagesEach;
        int chosen = choice.applyAsInt(router);
        time.after(
            delayMicros + Workload.HOP_MICROS,
            () ->
                upstreams
                    .get(chosen)
                    .call(
                        ok -> {
                          if (ok) {
                            time.after(Workload.HOP_MICROS, answered);
                          } else if (number < MAX_TRIES) {
                            attempt(router, number + 1, answered, refused);
                          } else {
                            refused.run();
                          }
                        }));
      }

      @Override
      public void loseDispatcher() {}

      @Override
      public long messages() {
        return messages;
      }
    };
  }

  private Variant counted(int[][] local, IntUnaryOperator choice) {
    int[] last = new int[1];
    Variant plain =
        direct(
            router -> {
              last[0] = choice.applyAsInt(router);
              local[router][last[0]]++;
              return last[0];
            },
            0,
            0);
    return new Variant() {
      @Override
      public void request(int router, Runnable answered, Runnable refused) {
        int[] chosen = new int[1];
        plain.request(
            router,
            () -> {
              local[router][chosen[0]]--;
              answered.run();
            },
            () -> {
              local[router][chosen[0]]--;
              refused.run();
            });
        chosen[0] = last[0];
      }

      @Override
      public void loseDispatcher() {}

      @Override
      public long messages() {
        return messages;
      }
    };
  }

  /** One process with a queue; while it is lost, nothing is answered until another takes over. */
  private final class Forwarding implements Variant {
    private static final long TAKE_OVER_MICROS = 1_000_000;

    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private final int[] busy = new int[upstreams.size()];
    private long lostUntilMicros;

    @Override
    public void request(int router, Runnable answered, Runnable refused) {
      messages += 2;
      if (time.nowMicros() < lostUntilMicros) {
        refused.run();
        return;
      }
      time.after(
          Workload.HOP_MICROS,
          () -> {
            waiting.add(() -> forward(answered));
            pump();
          });
    }

    @Override
    public void loseDispatcher() {
      lostUntilMicros = time.nowMicros() + TAKE_OVER_MICROS;
      waiting.clear();
    }

    @Override
    public long messages() {
      return messages;
    }

    private void pump() {
      while (!waiting.isEmpty() && free() >= 0) {
        waiting.poll().run();
      }
    }

    private int free() {
      int best = -1;
      for (int i = 0; i < busy.length; i++) {
        boolean lower = best < 0 || busy[i] < busy[best];
        best = busy[i] < Workload.SLOTS && lower ? i : best;
      }
      return best;
    }

    private void forward(Runnable answered) {
      int chosen = free();
      busy[chosen]++;
      time.after(
          Workload.HOP_MICROS,
          () ->
              upstreams
                  .get(chosen)
                  .call(
                      ok ->
                          time.after(
                              Workload.HOP_MICROS,
                              () -> {
                                busy[chosen]--;
                                time.after(Workload.HOP_MICROS, answered);
                                pump();
                              })));
    }
  }
}
