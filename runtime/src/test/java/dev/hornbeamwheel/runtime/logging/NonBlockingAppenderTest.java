package dev.hornbeamwheel.runtime.logging;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

final class NonBlockingAppenderTest {
  @Test
  void countsWhatAFullQueueCannotTakeInsteadOfBlocking() {
    CountDownLatch open = new CountDownLatch(1);
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    BlockedAppender blocked = new BlockedAppender(open);
    blocked.setContext(context);
    blocked.start();
    NonBlockingAppender appender = new NonBlockingAppender();
    appender.setContext(context);
    appender.setQueueSize(2);
    appender.addAppender(blocked);
    appender.start();
    long before = NonBlockingAppender.dropped();

    Logger logger = context.getLogger("test");
    IntStream.range(0, 100)
        .mapToObj(i -> new LoggingEvent("test", logger, Level.INFO, "line", null, null))
        .forEach(appender::doAppend);

    // Two lines wait in the queue, and the writer holds from none to three.
    assertThat(NonBlockingAppender.dropped() - before).isBetween(95L, 98L);
    open.countDown();
    appender.stop();
  }

  private static final class BlockedAppender extends AppenderBase<ILoggingEvent> {
    private final CountDownLatch open;

    BlockedAppender(CountDownLatch open) {
      this.open = open;
    }

    @Override
    protected void append(ILoggingEvent event) {
      try {
        open.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
