package dev.hornbeamwheel.core.host.keys;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.NavigableMap;
import java.util.TreeMap;

/** How many requests a second the keys of one service got lately. */
public final class KeyDemand {
  /** Span over which requests are counted, in milliseconds. */
  static final long WINDOW_MILLIS = 2_000;

  /** Most requests that are remembered. */
  private static final int MAX_SAMPLES = 4_000;

  /** Requests a second that all keys together get at least, spread evenly. */
  private static final double BACKGROUND_PER_SECOND = 2;

  private record Sample(long atMillis, int key) {}

  private final Deque<Sample> samples = new ArrayDeque<>();
  private final NavigableMap<Integer, Integer> counts = new TreeMap<>();
  private long firstRequestMillis = -1;
  private long nowMillis;

  private KeyDemand() {}

  /** Returns a demand of no requests. */
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

  /** Forgets requests that are older than the window. */
  public void advance(long millis) {
    nowMillis = millis;
    while (!samples.isEmpty() && samples.peekFirst().atMillis() < millis - WINDOW_MILLIS) {
      removeOldest();
    }
  }

  /** Returns the requests a second for a range of keys. */
  double requestsPerSecond(KeyRange range) {
    return observedPerSecond(range) + backgroundPerSecond(range.size());
  }

  /** Returns the requests a second for one key, above the even background. */
  double requestsPerSecond(int key) {
    return counts.getOrDefault(key, 0) / observedSeconds();
  }

  /** Returns the keys of a range that got requests, with their numbers of requests. */
  NavigableMap<Integer, Integer> requestCounts(KeyRange range) {
    return counts.subMap(range.first(), true, range.last(), true);
  }

  double backgroundPerSecond(int keys) {
    return BACKGROUND_PER_SECOND * keys / (KeyRange.MAX_KEY + 1);
  }

  private double observedPerSecond(KeyRange range) {
    return requestCounts(range).values().stream().mapToInt(Integer::intValue).sum()
        / observedSeconds();
  }

  private double observedSeconds() {
    long oldest = samples.isEmpty() ? firstRequestMillis : samples.peekFirst().atMillis();
    long span = Math.min(WINDOW_MILLIS, Math.max(1_000, nowMillis - oldest));
    return span / 1_000.0;
  }

  private void removeOldest() {
    Sample oldest = samples.removeFirst();
    counts.computeIfPresent(oldest.key(), (key, count) -> count == 1 ? null : count - 1);
  }
}
