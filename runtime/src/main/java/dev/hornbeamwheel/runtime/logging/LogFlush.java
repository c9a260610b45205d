package dev.hornbeamwheel.runtime.logging;

import ch.qos.logback.classic.LoggerContext;
import org.slf4j.ILoggerFactory;
import org.slf4j.LoggerFactory;

/** Writes out what the log still holds, before the process ends. */
public final class LogFlush {
  private LogFlush() {}

  /** Stops the log; lines that are logged later are lost. */
  public static void run() {
    ILoggerFactory factory = LoggerFactory.getILoggerFactory();
    if (factory instanceof LoggerContext context) {
      context.stop();
    }
  }
}
