package dev.hornbeamwheel.bench.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.function.Consumer;

/** An upstream with two slots and a short queue that is at times slow. */
final class SimulatedUpstream {
  /** Requests that wait at an upstream before it sheds. */
  private static final int MAX_QUEUED = 8;

  private final EventQueue time;
  private final Random random;
  private final Deque<Call> queued = new ArrayDeque<>();
  private int running;
  private long slowUntilMicros;
  int reportedInFlight;

  SimulatedUpstream(EventQueue time, Random random) {
    this.time = time;
    this.random = random;
  }

  int inFlight() {
    return running + queued.size();
  }

  void slowDown() {
    slowUntilMicros = time.nowMicros() + Workload.SLOW_MICROS;
  }

  /** Runs a request; the answer is true when it has run and false when it was shed. */
  Call call(Consumer<Boolean> answer) {
    Call call = new Call(answer);
    if (queued.size() >= MAX_QUEUED) {
      answer.accept(false);
    } else if (running < Workload.SLOTS) {
      call.run();
    } else {
      queued.add(call);
    }
    return call;
  }

  private void next() {
    if (!queued.isEmpty()) {
      queued.poll().run();
    }
  }

  /** A request that waits, runs or has ended. */
  final class Call {
    private final Consumer<Boolean> answer;
    private boolean runs;
    private boolean ended;

    private Call(Consumer<Boolean> answer) {
      this.answer = answer;
    }

    /** Frees the slot or the place in the queue; there is no answer any more. */
    void cancel() {
      if (!ended && !runs) {
        queued.remove(this);
      }
      end();
    }

    private void run() {
      runs = true;
      running++;
      boolean slow = time.nowMicros() < slowUntilMicros;
      double micros = -Math.log(1 - random.nextDouble()) * Workload.MEAN_SERVICE_MICROS;
      time.after(
          (long) (micros * (slow ? Workload.SLOW_FACTOR : 1)),
          () -> {
            if (end()) {
              answer.accept(true);
            }
          });
    }

    private boolean end() {
      boolean first = !ended;
      ended = true;
      if (first && runs) {
        running--;
        next();
      }
      return first;
    }
  }
}
