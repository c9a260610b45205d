package dev.hornbeamwheel.e2e;

import dev.hornbeamwheel.examples.Caller;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * The command {@code bin/loopback}: what one router adds to a call, at half of the slots in use.
 *
 * <p>Direct calls go to one upstream with one caller for its two slots; calls through a router go
 * to the pool of two upstreams with two callers, so that the part of the slots in use is the same.
 */
public final class LoopbackMain {
  private static final int ROUNDS = 3;
  private static final int WARM_UP_CALLS = 2_000;
  private static final int CALLS = 2_000;
  private static final int CALLERS_THROUGH_ROUTER = 2;
  private static final long PATIENCE_MILLIS = 30_000;
  private static final String PATH = "/pages/1";
  private static final long LARGEST_MICROS = 10_000_000;
  private static final int DIGITS = 3;

  private final Fleet fleet;
  private final OkHttpClient client = new OkHttpClient();
  private final AtomicLong ids = new AtomicLong();

  private LoopbackMain(Fleet fleet) {
    this.fleet = fleet;
  }

  /** One call that is timed. */
  private interface TimedCall {
    boolean send() throws IOException;
  }

  /** Runs the rounds and prints a table. */
  public static void main(String... args) throws IOException, InterruptedException {
    Path directory = Files.createTempDirectory("loopback");
    Fleet fleet = Fleet.start(directory);
    try {
      new LoopbackMain(fleet).run();
    } finally {
      fleet.stop();
    }
  }

  private void run() throws IOException, InterruptedException {
    String direct = fleet.upstreamAddress("desk-north-1");
    Caller caller = Caller.of("http://" + fleet.hosts().get(0).callers(), FleetFiles.TOKEN);
    awaitServed(caller);
    TimedCall toUpstream = () -> callDirect(direct);
    TimedCall throughRouter = () -> caller.download("desk", PATH).status() == 200;
    measure(toUpstream, 1, WARM_UP_CALLS);
    measure(throughRouter, CALLERS_THROUGH_ROUTER, WARM_UP_CALLS);
    System.out.println("| round | way | calls/s | p50 ms | p99 ms | p99.9 ms | failed |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
    for (int round = 1; round <= ROUNDS; round++) {
      print(round, "direct", measure(toUpstream, 1, CALLS));
      print(round, "through one router", measure(throughRouter, CALLERS_THROUGH_ROUTER, CALLS));
    }
  }

  /** Figures of one way in one round. */
  private record Figures(Histogram micros, long failed, long elapsedMillis) {}

  private static Figures measure(TimedCall call, int callers, int calls)
      throws InterruptedException {
    Histogram histogram = new ConcurrentHistogram(LARGEST_MICROS, DIGITS);
    AtomicLong failed = new AtomicLong();
    CountDownLatch done = new CountDownLatch(callers);
    long start = System.nanoTime();
    for (int i = 0; i < callers; i++) {
      new Thread(() -> repeat(call, calls / callers, histogram, failed, done)).start();
    }
    done.await();
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    return new Figures(histogram, failed.get(), elapsedMillis);
  }

  private static void repeat(
      TimedCall call, int calls, Histogram histogram, AtomicLong failed, CountDownLatch done) {
    for (int i = 0; i < calls; i++) {
      long before = System.nanoTime();
      if (!succeeds(call)) {
        failed.incrementAndGet();
      }
      histogram.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - before));
    }
    done.countDown();
  }

  private static boolean succeeds(TimedCall call) {
    try {
      return call.send();
    } catch (IOException e) {
      return false;
    }
  }

  private boolean callDirect(String address) throws IOException {
    Request request =
        new Request.Builder()
            .url("http://" + address + PATH)
            .header("Hbw-Request-Id", "direct-" + ids.incrementAndGet())
            .header("Hbw-Deadline-Millis", "5000")
            .build();
    try (Response response = client.newCall(request).execute()) {
      return response.isSuccessful() && response.body().bytes().length > 0;
    }
  }

  private static void awaitServed(Caller caller) throws InterruptedException {
    for (long waited = 0; waited < PATIENCE_MILLIS; waited += 100) {
      if (succeeds(() -> caller.download("desk", PATH).status() == 200)) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
  }

  private static void print(int round, String way, Figures figures) {
    System.out.printf(
        "| %d | %s | %.0f | %.2f | %.2f | %.2f | %d |%n",
        round,
        way,
        1_000.0 * figures.micros().getTotalCount() / figures.elapsedMillis(),
        figures.micros().getValueAtPercentile(50) / 1_000.0,
        figures.micros().getValueAtPercentile(99) / 1_000.0,
        figures.micros().getValueAtPercentile(99.9) / 1_000.0,
        figures.failed());
  }
}
