package dev.hornbeamwheel.runtime.logging;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import dev.hornbeamwheel.core.Decision;
import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

final class DecisionLogTest {
  private static final Decision DECISION =
      new Decision("route", "owner", "baymap", 7, 3, "bay-1", "committee", "r-1");

  private final Logger logger = (Logger) LoggerFactory.getLogger(DecisionLog.LOGGER_NAME);
  private final ListAppender<ILoggingEvent> lines = new ListAppender<>();

  @BeforeEach
  void capture() {
    lines.start();
    logger.addAppender(lines);
    logger.setAdditive(false);
  }

  @AfterEach
  void release() {
    logger.detachAppender(lines);
    logger.setAdditive(true);
  }

  @Test
  void writesEveryFieldAsAKeyValuePair() {
    DecisionLog.sampling(1).write(DECISION);

    JsonEncoder encoder = new JsonEncoder();
    encoder.start();
    String line = new String(encoder.encode(lines.list.get(0)), StandardCharsets.UTF_8);
    assertThat(line)
        .contains("\"kind\":\"route\"", "\"reason\":\"owner\"", "\"service\":\"baymap\"")
        .contains("\"shard\":\"7\"", "\"epoch\":\"3\"", "\"upstream\":\"bay-1\"")
        .contains("\"contract\":\"committee\"", "\"requestId\":\"r-1\"");
  }

  @Test
  void writesOneDecisionInAsManyAsTheSamplingSays() {
    DecisionLog all = DecisionLog.sampling(1);
    DecisionLog some = DecisionLog.sampling(5);

    IntStream.range(0, 10).forEach(i -> all.write(DECISION));
    assertThat(lines.list).hasSize(10);

    IntStream.range(0, 10).forEach(i -> some.write(DECISION));
    assertThat(lines.list).hasSize(12);
  }
}
