package dev.hornbeamwheel.runtime.logging;

import dev.hornbeamwheel.core.Decision;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes a log line for each routing or placement decision, its fields as key-value pairs.
 *
 * <p>Safe for use by several threads. Never blocks: a line that the queue of the appender cannot
 * take is counted by {@link NonBlockingAppender#dropped()}.
 */
public final class DecisionLog {
  /** Name of the logger of all decisions. */
  public static final String LOGGER_NAME = "hornbeamwheel.decisions";

  private final Logger logger = LoggerFactory.getLogger(LOGGER_NAME);
  private final AtomicLong seen = new AtomicLong();
  private final int oneIn;

  private DecisionLog(int oneIn) {
    this.oneIn = oneIn;
  }

  /**
   * Returns a log that writes one decision in {@code oneIn}; one writes every decision.
   *
   * @throws IllegalArgumentException if {@code oneIn} is less than one
   */
  public static DecisionLog sampling(int oneIn) {
    if (oneIn < 1) {
      throw new IllegalArgumentException("sampling must be at least 1: " + oneIn);
    }
    return new DecisionLog(oneIn);
  }

  /** Writes the decision, unless sampling passes over it. */
  public void write(Decision decision) {
    if (oneIn > 1 && seen.getAndIncrement() % oneIn != 0) {
      return;
    }
    logger
        .atInfo()
        .addKeyValue("kind", decision.kind())
        .addKeyValue("reason", decision.reason())
        .addKeyValue("service", decision.service())
        .addKeyValue("shard", decision.shard())
        .addKeyValue("epoch", decision.epoch())
        .addKeyValue("upstream", decision.upstream())
        .addKeyValue("contract", decision.contract())
        .addKeyValue("requestId", decision.requestId())
        .log("decision");
  }
}
