package dev.hornbeamwheel.e2e;

import dev.hornbeamwheel.examples.Caller;
import dev.hornbeamwheel.examples.Caller.Answer;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A steady load of lookups and orders over all routers, with a record of each outcome. */
final class Load {
  private static final int THREADS = 12;
  private static final int KEYS = 24;
  private static final long PAUSE_MILLIS = 20;

  private final List<Caller> callers;
  private final ExecutorService executor = Executors.newFixedThreadPool(THREADS);
  private final Map<String, AtomicLong> outcomes = new ConcurrentHashMap<>();
  private final Map<String, Long> lastServed = new ConcurrentHashMap<>();
  private final Map<String, Long> longestGap = new ConcurrentHashMap<>();
  private final Queue<String> acknowledged = new ConcurrentLinkedQueue<>();
  private final Queue<String> notRun = new ConcurrentLinkedQueue<>();
  private volatile boolean running = true;

  private Load(List<Caller> callers) {
    this.callers = callers;
  }

  /** Starts the load. */
  static Load start(List<String> routers) {
    Load load =
        new Load(
            routers.stream()
                .map(address -> Caller.of("http://" + address, FleetFiles.TOKEN))
                .toList());
    for (int thread = 0; thread < THREADS; thread++) {
      int number = thread;
      load.executor.execute(() -> load.run(number));
    }
    return load;
  }

  /** Waits until each key was served, or the time is over. */
  void awaitAllServed(long millis) throws InterruptedException {
    for (long waited = 0; lastServed.size() < KEYS && waited < millis; waited += PAUSE_MILLIS) {
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
    }
  }

  /** Forgets the gaps measured so far; called between the steps of a drill. */
  void restartGaps() {
    lastServed.clear();
    longestGap.clear();
  }

  /** Returns the longest time in milliseconds for which a key was not served. */
  long longestGapMillis() {
    return longestGap.values().stream().mapToLong(Long::longValue).max().orElse(0);
  }

  /** Returns the number of requests by kind and outcome. */
  Map<String, AtomicLong> outcomes() {
    return outcomes;
  }

  /** Returns the idempotency keys of orders whose completion was acknowledged. */
  List<String> acknowledged() {
    return List.copyOf(acknowledged);
  }

  /** Returns the idempotency keys of orders that were refused as not run and never sent again. */
  List<String> notRun() {
    return List.copyOf(notRun);
  }

  /** Stops everything and returns when it has ended. */
  void stop() throws InterruptedException {
    running = false;
    executor.shutdown();
    executor.awaitTermination(1, TimeUnit.MINUTES);
  }

  private void run(int thread) {
    for (long turn = 0; running; turn++) {
      Caller caller = callers.get((int) ((thread + turn) % callers.size()));
      if (turn % 4 == 0) {
        order(caller, "order-" + thread + "-" + turn);
      } else {
        lookup(caller, "key-" + (thread + turn * THREADS) % KEYS);
      }
      pause();
    }
  }

  private void lookup(Caller caller, String key) {
    try {
      Answer answer = caller.lookup("ledger", key, "/balance");
      count("lookup " + answer.outcome());
      if (answer.status() == 200) {
        served(key);
      }
    } catch (IOException e) {
      count("lookup unreachable");
    }
  }

  private void order(Caller caller, String idempotencyKey) {
    try {
      Answer answer = caller.order("desk", "/orders", idempotencyKey, "{}");
      count("order " + answer.outcome());
      if (answer.status() == 200) {
        acknowledged.add(idempotencyKey);
      } else if ("not-run".equals(answer.outcome())) {
        notRun.add(idempotencyKey);
      }
    } catch (IOException e) {
      count("order unreachable");
    }
  }

  private void served(String key) {
    long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    Long before = lastServed.put(key, now);
    if (before != null) {
      longestGap.merge(key, now - before, Math::max);
    }
  }

  private void count(String outcome) {
    outcomes.computeIfAbsent(outcome, absent -> new AtomicLong()).incrementAndGet();
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
