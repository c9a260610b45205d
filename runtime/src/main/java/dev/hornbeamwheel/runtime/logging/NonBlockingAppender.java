package dev.hornbeamwheel.runtime.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Hands log events to a writer thread and counts those that its full queue could not take.
 *
 * <p>A blocked log reader must never stop the event loop, whose leases would lapse.
 */
public final class NonBlockingAppender extends AsyncAppender {
  private static final AtomicLong DROPPED = new AtomicLong();

  /** Makes an appender; the logging configuration names the class. */
  public NonBlockingAppender() {
    setNeverBlock(true);
    setDiscardingThreshold(0);
  }

  /** Returns how many log events this process has dropped. */
  public static long dropped() {
    return DROPPED.get();
  }

  @Override
  protected void append(ILoggingEvent event) {
    if (getRemainingCapacity() == 0) {
      DROPPED.incrementAndGet();
      return;
    }
    super.append(event);
  }
}
