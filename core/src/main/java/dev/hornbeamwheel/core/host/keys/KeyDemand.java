package dev.hornbeamwheel.core.host.keys;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Measures the recent requests per second to the keys of one service. */
public final class KeyDemand {
  /** Length of the sliding window in which requests are counted, in milliseconds. */
  static final long WINDOW_MILLIS = 2_000;

  /** Maximum number of requests in the window. */
  private static final int MAX_SAMPLES = 4_000;

  /** Requests per second that are assumed in addition, spread evenly over all keys. */
  private static final double BACKGROUND_PER_SECOND = 2;

  private record Sample(long atMillis, int key) {}

  private final Deque<Sample> samples = new ArrayDeque<>();
  private final NavigableMap<Integer, Integer> counts = new TreeMap<>();
  private long firstRequestMillis = -1;
  private long nowMillis;

  private KeyDemand() {}

  /** Returns a measurement without requests. */
  public static KeyDemand empty() {
    return new KeyDemand();
  }

  /** Counts a request. */
  public void add(long atMillis, int key) {
    if (firstRequestMillis < 0) {
      firstRequestMillis = atMillis;
    }
    samples.addLast(new Sample(atMillis, key));
    counts.merge(key, 1, Integer::sum);
    if (samples.size() > MAX_SAMPLES) {
      removeOldest();
    }
  }

  /** Moves the window to a time and drops the requests that are older. */
  public void advance(long toMillis) {
    nowMillis = toMillis;
    while (!samples.isEmpty() && samples.peekFirst().atMillis() < toMillis - WINDOW_MILLIS) {
      removeOldest();
    }
  }

  /** Returns the requests per second to a range of keys, including the background. */
  double requestsPerSecond(KeyRange range) {
    return observedPerSecond(range) + backgroundPerSecond(range.size());
  }

  /** Returns the requests per second to one key, without the background. */
  double requestsPerSecond(int key) {
    return counts.getOrDefault(key, 0) / observedSeconds();
  }

  /** Returns the number of requests that a rate would have caused in the window. */
  double expectedCount(double perSecond) {
    return perSecond * observedSeconds();
  }

  /** Returns the number of requests to each key of a range that had any. */
  NavigableMap<Integer, Integer> requestCounts(KeyRange range) {
    return counts.subMap(range.first(), true, range.last(), true);
  }

  /** Returns the background requests per second that are assumed for a number of keys. */
  double backgroundPerSecond(int keys) {
    return BACKGROUND_PER_SECOND * keys / (KeyRange.MAX_KEY + 1);
  }

  private double observedPerSecond(KeyRange range) {
    return requestCounts(range).values().stream().mapToInt(Integer::intValue).sum()
        / observedSeconds();
  }

  private double observedSeconds() {
    long oldestMillis = samples.isEmpty() ? firstRequestMillis : samples.peekFirst().atMillis();
    long spanMillis = Math.min(WINDOW_MILLIS, Math.max(1_000, nowMillis - oldestMillis));
    return spanMillis / 1_000.0;
  }

  private void removeOldest() {
    Sample oldest = samples.removeFirst();
    counts.computeIfPresent(oldest.key(), (key, count) -> count == 1 ? null : count - 1);
  }
}
