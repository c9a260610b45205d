package dev.hornbeamwheel.core.host.buffers;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Decides which request bodies a host reads on, and which requests it refuses, by the bytes that it
 * buffers. Mutable, confined to one thread.
 *
 * <p>From the pause threshold on, only the body that has advanced furthest is read. It is read to
 * its end unless its caller sends too slowly; then it waits behind the bodies that have not been
 * found slow. So neither a set of partially read bodies nor a caller that sends next to nothing
 * blocks the others.
 *
 * @param <C> what identifies a connection
 */
public final class BodyReads<C> {
  /** Time after which the progress of the only body that is read is judged, in milliseconds. */
  static final long TURN_MILLIS = 500;

  /**
   * Bytes that a body must advance in a turn in order not to count as slow: 32 KiB/s, at which an
   * upload of 60 KB takes 2 s, as long as it may wait for a slot anyway.
   */
  static final long MIN_TURN_BYTES = 16 << 10;

  /**
   * Bytes that each piece of a body counts in addition to its content. A piece has a buffer of its
   * own, which is larger than its content if the caller sends a few bytes at a time.
   */
  static final long PIECE_OVERHEAD_BYTES = 512;

  /** Maximum delay after which a refused caller is told to retry, in milliseconds. */
  static final long MAX_RETRY_AFTER_MILLIS = 1_000;

  /** Divisor of the remaining time that gives the longest delay of a refused caller. */
  private static final int RETRY_AFTER_DIVISOR = 3;

  /** A body that has been read in part. */
  private static final class Body {
    private final long order;
    private long bytes;

    /** When its last slow turn ended, in milliseconds; negative if none did. */
    private long slowMillis = -1;

    private Body(long order) {
      this.order = order;
    }
  }

  private final BufferLimits limits;
  private final Map<C, Body> partial = new HashMap<>();
  private final Set<C> paused = new HashSet<>();
  private long nextOrder;
  private long requestBytes;
  private long responseBytes;
  private C preferred;
  private long turnStartMillis;
  private long turnStartBytes;
  private long refusals;

  private BodyReads(BufferLimits limits) {
    this.limits = limits;
  }

  /** Returns the decisions of a host that buffers nothing yet. */
  public static <C> BodyReads<C> within(BufferLimits limits) {
    return new BodyReads<>(limits);
  }

  /**
   * Returns the time after which a refused caller is to retry, in milliseconds.
   *
   * @param remainingMillis time until the deadline of the request, in milliseconds
   */
  public static long retryAfterMillis(long remainingMillis) {
    return Math.max(1, Math.min(MAX_RETRY_AFTER_MILLIS, remainingMillis / RETRY_AFTER_DIVISOR));
  }

  /** Returns whether only one body is read at a time. */
  public boolean pausing() {
    return buffered() >= limits.pauseBytes();
  }

  /** Returns the bytes of request bodies, read in part or held for requests in flight. */
  public long requestBytes() {
    return requestBytes;
  }

  /** Returns the bytes that callers and upstreams have not accepted, as last set. */
  public long responseBytes() {
    return responseBytes;
  }

  /** Returns the number of requests refused for lack of budget. */
  public long refusals() {
    return refusals;
  }

  /** Returns the connections whose body is not to be read now. */
  public Set<C> paused() {
    return Set.copyOf(paused);
  }

  /** Returns whether the body on a connection is to be read now. */
  public boolean mayRead(C connection) {
    return !paused.contains(connection);
  }

  /** Returns whether the body on a connection waits for others, and was not found slow itself. */
  public boolean heldUp(C connection) {
    return paused.contains(connection) && partial.get(connection).slowMillis < 0;
  }

  /** Returns whether a body is being read on a connection. */
  public boolean reading(C connection) {
    return partial.containsKey(connection);
  }

  /**
   * Begins to read a body.
   *
   * @param declaredBytes length of the body; zero if it is not declared
   * @return false if the request is refused because its body does not fit
   */
  public boolean begin(long nowMillis, C connection, long declaredBytes) {
    if (buffered() + declaredBytes > limits.maxBytes()) {
      refusals++;
      return false;
    }
    partial.put(connection, new Body(nextOrder++));
    update(nowMillis);
    return true;
  }

  /**
   * Counts a piece of the body that is being read on a connection.
   *
   * @return false if the request is refused because the piece does not fit; the body is forgotten
   */
  public boolean receive(long nowMillis, C connection, int pieceBytes) {
    long bytes = pieceBytes + PIECE_OVERHEAD_BYTES;
    if (buffered() + bytes > limits.maxBytes()) {
      refuse(nowMillis, connection);
      return false;
    }
    partial.get(connection).bytes += bytes;
    requestBytes += bytes;
    update(nowMillis);
    return true;
  }

  /**
   * Ends the reading of a complete body, whose bytes count until they are released.
   *
   * @return the bytes to release
   */
  public long complete(long nowMillis, C connection) {
    Body body = partial.remove(connection);
    update(nowMillis);
    return body == null ? 0 : body.bytes;
  }

  /** Forgets a body that was too slow in its turn, and counts its request as refused. */
  public void refuse(long nowMillis, C connection) {
    refusals++;
    abandon(nowMillis, connection);
  }

  /** Forgets a body whose rest will not be read, if one is being read on the connection. */
  public void abandon(long nowMillis, C connection) {
    Body body = partial.remove(connection);
    release(nowMillis, body == null ? 0 : body.bytes);
  }

  /** Stops counting the bytes of a complete body. */
  public void release(long nowMillis, long bytes) {
    requestBytes -= bytes;
    update(nowMillis);
  }

  /** Sets the bytes that callers and upstreams have not accepted, and judges the preferred body. */
  public void tick(long nowMillis, long unacceptedBytes) {
    responseBytes = unacceptedBytes;
    update(nowMillis);
  }

  private long buffered() {
    return requestBytes + responseBytes;
  }

  private void update(long nowMillis) {
    if (!pausing()) {
      preferred = null;
      paused.clear();
      return;
    }
    if (!partial.containsKey(preferred) || turnWasSlow(nowMillis)) {
      prefer(nowMillis, furthest());
    }
    paused.clear();
    paused.addAll(partial.keySet());
    paused.remove(preferred);
  }

  private boolean turnWasSlow(long nowMillis) {
    if (nowMillis - turnStartMillis < TURN_MILLIS) {
      return false;
    }
    Body body = partial.get(preferred);
    boolean slow = body.bytes - turnStartBytes < MIN_TURN_BYTES;
    if (slow) {
      body.slowMillis = nowMillis;
    } else {
      prefer(nowMillis, preferred);
    }
    return slow;
  }

  private void prefer(long nowMillis, C connection) {
    preferred = connection;
    turnStartMillis = nowMillis;
    turnStartBytes = connection == null ? 0 : partial.get(connection).bytes;
  }

  /** Returns the body that has advanced furthest; slow ones come last, by the end of their turn. */
  private C furthest() {
    Comparator<Body> order =
        Comparator.<Body>comparingLong(body -> body.slowMillis)
            .thenComparingLong(body -> -body.bytes)
            .thenComparingLong(body -> body.order);
    return partial.entrySet().stream()
        .min(Map.Entry.comparingByValue(order))
        .map(Map.Entry::getKey)
        .orElse(null);
  }
}
