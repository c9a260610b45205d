package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.buffers.BodyReads;
import dev.hornbeamwheel.core.host.buffers.BufferLimits;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.time.Clock;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/** Applies the decisions of {@link BodyReads} to the connections of callers. */
final class CallerBuffers {
  private final BufferLimits limits;
  private final Clock clock;
  private final Consumer<LogEntry> log;
  private final BodyReads<CallerConnection> reads;
  private Set<CallerConnection> paused = Set.of();
  private boolean pausing;

  CallerBuffers(BufferLimits limits, Clock clock, Consumer<LogEntry> log) {
    this.limits = limits;
    this.clock = clock;
    this.log = log;
    this.reads = BodyReads.within(limits);
  }

  /** Returns the size of the longest body that fits, given the limit of the configuration. */
  int maxBodyBytes(int configuredBytes) {
    return (int) Math.min(configuredBytes, limits.maxBytes());
  }

  /** Returns whether the bytes of responses need to be counted. */
  boolean limited() {
    return limits.limited();
  }

  boolean mayRead(CallerConnection connection) {
    return reads.mayRead(connection);
  }

  /** Returns whether a connection is not read now although its caller may be sending. */
  boolean heldUp(CallerConnection connection) {
    return reads.heldUp(connection);
  }

  boolean reading(CallerConnection connection) {
    return reads.reading(connection);
  }

  /** Begins to read a body; returns false if its request is refused. */
  boolean begin(CallerConnection connection, long declaredBytes) {
    boolean accepted = reads.begin(clock.millis(), connection, declaredBytes);
    apply();
    return accepted;
  }

  /** Counts a piece of a body; returns false if its request is refused. */
  boolean receive(CallerConnection connection, int pieceBytes) {
    boolean accepted = reads.receive(clock.millis(), connection, pieceBytes);
    apply();
    return accepted;
  }

  /** Ends the reading of a body; returns the bytes to release when it is no longer held. */
  long complete(CallerConnection connection) {
    long bytes = reads.complete(clock.millis(), connection);
    apply();
    return bytes;
  }

  /** Counts the refusal of a request whose body was too slow, and forgets the body. */
  void refuse(CallerConnection connection) {
    reads.refuse(clock.millis(), connection);
    apply();
  }

  /** Forgets a body whose rest will not be read. */
  void abandon(CallerConnection connection) {
    reads.abandon(clock.millis(), connection);
    apply();
  }

  /** Stops counting the bytes of a complete body. */
  void release(long bytes) {
    if (bytes > 0) {
      reads.release(clock.millis(), bytes);
      apply();
    }
  }

  /** Sets the bytes that callers and upstreams have not accepted. */
  void tick(long unacceptedBytes) {
    reads.tick(clock.millis(), unacceptedBytes);
    apply();
  }

  /** Logs a refused request. */
  void logRefusal(String attemptId, long retryAfterMillis) {
    log.accept(
        withBytes(LogEntry.failure("body-refused"))
            .with("request", attemptId)
            .with("retryAfterMillis", retryAfterMillis));
  }

  long requestBytes() {
    return reads.requestBytes();
  }

  long responseBytes() {
    return reads.responseBytes();
  }

  long refusals() {
    return reads.refusals();
  }

  private void apply() {
    Set<CallerConnection> now = reads.paused();
    if (!now.equals(paused)) {
      Set<CallerConnection> changed = new HashSet<>(now);
      changed.addAll(paused);
      paused = now;
      changed.forEach(CallerConnection::updateAutoRead);
    }
    if (reads.pausing() != pausing) {
      pausing = reads.pausing();
      log.accept(withBytes(LogEntry.of(pausing ? "reads-paused" : "reads-resumed")));
    }
  }

  private LogEntry withBytes(LogEntry entry) {
    return entry
        .with("requestBytes", reads.requestBytes())
        .with("responseBytes", reads.responseBytes());
  }
}
