package dev.hornbeamwheel.bench.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;

/** Demand and faults of one run, by true time. */
enum Scenario {
  /** All routers are asked alike. */
  EVEN("even demand"),
  /** One router is asked for twice the contract. */
  ONE_HOST("all demand on one host"),
  /** The one router is lost, and its callers go to a neighbour. */
  HOST_LOST("that host lost, callers go to its neighbour"),
  /** The demand moves to a host of another data centre. */
  MOVED("demand moves to another data centre"),
  /** As before, but the first data centre can no longer lower its share. */
  CUT_OFF("the same, first data centre cut off from the platform");

  static final int CENTRES = 3;
  static final int ROUTERS = 24;
  private static final long FAULT_MILLIS = 15_000;
  private static final long MEASURE_MILLIS = 30_000;
  private static final long END_MILLIS = 45_000;
  private static final long SECOND_MILLIS = 1000;
  private static final int MEAN_SERVICE_MILLIS = 20;

  private final String title;

  Scenario(String title) {
    this.title = title;
  }

  String title() {
    return title;
  }

  /** Runs a limiter and judges it. */
  Result run(Limiter limiter, Numbers numbers, long seed) {
    Random random = new Random(seed);
    Deque<Long> second = new ArrayDeque<>();
    PriorityQueue<long[]> running = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
    long worst = 0;
    long used = 0;
    double due = 0;
    for (long now = 1; now <= END_MILLIS; now++) {
      limiter.advance(now);
      if (now == FAULT_MILLIS) {
        fault(limiter);
      }
      while (!running.isEmpty() && running.peek()[0] <= now) {
        limiter.finished((int) running.poll()[1]);
      }
      List<Integer> asked = asked(now);
      for (due += 2 * numbers.rate() / 1000.0; due >= 1; due--) {
        int router = asked.get(random.nextInt(asked.size()));
        if (limiter.admit(router)) {
          second.addLast(now);
          used += now > MEASURE_MILLIS ? 1 : 0;
          running.add(new long[] {now + 1 + random.nextInt(2 * MEAN_SERVICE_MILLIS), router});
        }
      }
      while (!second.isEmpty() && second.peekFirst() <= now - SECOND_MILLIS) {
        second.removeFirst();
      }
      worst = Math.max(worst, second.size());
    }
    double seconds = (END_MILLIS - MEASURE_MILLIS) / 1000.0;
    return new Result(
        (double) worst / (numbers.rate() + numbers.burst()),
        used / seconds / numbers.rate(),
        limiter.messages() * 1000.0 / END_MILLIS,
        limiter.writes());
  }

  private void fault(Limiter limiter) {
    if (this == HOST_LOST) {
      limiter.lose(0);
    } else if (this == CUT_OFF) {
      limiter.cutOff(0);
    }
  }

  private List<Integer> asked(long nowMillis) {
    if (this == EVEN) {
      return IntStream.range(0, ROUTERS).boxed().toList();
    }
    if (this == ONE_HOST || nowMillis < FAULT_MILLIS) {
      return List.of(0);
    }
    return List.of(this == HOST_LOST ? CENTRES : 1);
  }

  /** Limits of the contract. */
  record Numbers(long rate, long burst, int concurrency) {}

  /**
   * What one run came to.
   *
   * @param worstSecond most requests admitted in a second, over rate plus burst
   * @param usable admitted rate at the end, over the rate of the contract
   * @param messagesPerSecond messages between routers and arbiters
   * @param writes writes to the table
   */
  record Result(double worstSecond, double usable, double messagesPerSecond, long writes) {}
}
