package dev.hornbeamwheel.core.host.fairness;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The times at which refused callers of one queue were told to come back, as capacity that is kept
 * for them.
 *
 * <p>Time is divided into intervals, each with a limited number of returns. A caller comes back as
 * a new request; it is recognised by its kind and by its target or deadline, which has stayed the
 * same.
 *
 * @param <K> kind of request, such as its route and data centre
 */
public final class Reservations<K> {
  /** Length of an interval, in milliseconds; a few per latency target. */
  static final long INTERVAL_MILLIS = 50;

  /** Time for which a reservation stays after its time, in milliseconds; delays of the network. */
  static final long GRACE_MILLIS = 150;

  /**
   * Difference of the target or deadline up to which a request is taken for the same, and time by
   * which it may be early, in milliseconds: delays within and between data centres. It is short, so
   * that other callers refused at the same moment do not match.
   */
  private static final long TOLERANCE_MILLIS = 10;

  /**
   * Time between the latest reservation and the returns without one, in milliseconds, so that
   * callers refused shortly before do not come back first and take it.
   */
  private static final long UNRESERVED_GAP_MILLIS = 2 * TOLERANCE_MILLIS + 5;

  /** Time for which promises are remembered; below one return in this time, none is promised. */
  private static final long MEMORY_MILLIS = 10_000;

  /**
   * Least number of intervals over which the rate is kept. Over a single one, up to half of the
   * capacity would be lost by rounding.
   */
  private static final int MIN_WINDOW_INTERVALS = 4;

  /** The promised returns that have not come yet, by interval. */
  private final TreeMap<Long, List<Caller<K>>> expected = new TreeMap<>();

  /** The number of promised returns by interval, whether they have come or not. */
  private final TreeMap<Long, Integer> promised = new TreeMap<>();

  /**
   * What a caller is recognised by.
   *
   * @param kind kind of request
   * @param targetMillis time by which the response is wanted
   * @param deadlineMillis time at which the caller stops waiting
   */
  public record Caller<K>(K kind, long targetMillis, long deadlineMillis) {
    private boolean matches(Caller<K> other) {
      return distance(other) <= TOLERANCE_MILLIS && kind.equals(other.kind);
    }

    private long distance(Caller<K> other) {
      return Math.min(
          Math.abs(targetMillis - other.targetMillis),
          Math.abs(deadlineMillis - other.deadlineMillis));
    }
  }

  /**
   * Reserves the earliest time that has capacity left.
   *
   * @param earliestMillis earliest time of the return
   * @param latestMillis latest time of the return
   * @param perSecond returns that may be promised per second
   * @return the time, or empty if there is no capacity left until the latest time
   */
  public OptionalLong reserve(
      long nowMillis, Caller<K> caller, long earliestMillis, long latestMillis, double perSecond) {
    expire(nowMillis);
    double capacity = perSecond * INTERVAL_MILLIS / 1_000;
    long last = index(latestMillis - UNRESERVED_GAP_MILLIS);
    for (long index = index(earliestMillis) + 1; index <= last; index++) {
      if (hasCapacity(index, capacity)) {
        promised.merge(index, 1, Integer::sum);
        expected.computeIfAbsent(index, id -> new ArrayList<>()).add(caller);
        return OptionalLong.of(index * INTERVAL_MILLIS);
      }
    }
    return OptionalLong.empty();
  }

  /**
   * Returns whether one more return in an interval keeps the rate in each window of a few intervals
   * that contains it, the later ones included.
   */
  private boolean hasCapacity(long index, double capacity) {
    double window = Math.max(MIN_WINDOW_INTERVALS, Math.ceil(1 / capacity));
    if (window * INTERVAL_MILLIS > MEMORY_MILLIS
        || promised.getOrDefault(index, 0) >= Math.ceil(capacity)) {
      return false;
    }
    long length = Math.round(window);
    long most = Math.max(1, (long) (length * capacity));
    long inWindow = 0;
    for (long at = index - length + 1; at < index + length; at++) {
      inWindow += promised.getOrDefault(at, 0);
      inWindow -= at > index ? promised.getOrDefault(at - length, 0) : 0;
      if (at >= index && inWindow >= most) {
        return false;
      }
    }
    return true;
  }

  /** Takes the reservation of a caller who has come back; returns whether there is one. */
  public boolean take(long nowMillis, Caller<K> caller) {
    expire(nowMillis);
    Collection<List<Caller<K>>> due =
        expected.headMap(index(nowMillis + TOLERANCE_MILLIS), true).values();
    Optional<Caller<K>> match =
        due.stream()
            .flatMap(List::stream)
            .filter(caller::matches)
            .min(Comparator.comparingLong(caller::distance));
    return match.isPresent() && due.stream().anyMatch(callers -> callers.remove(match.get()));
  }

  /** Returns the number of callers that are expected to come back until a time. */
  public int expected(long nowMillis, long untilMillis) {
    expire(nowMillis);
    return expected.headMap(index(untilMillis), true).values().stream().mapToInt(List::size).sum();
  }

  private void expire(long nowMillis) {
    expected.headMap(index(nowMillis - GRACE_MILLIS), false).clear();
    promised.headMap(index(nowMillis - MEMORY_MILLIS), false).clear();
  }

  private static long index(long millis) {
    return Math.floorDiv(millis, INTERVAL_MILLIS);
  }
}
