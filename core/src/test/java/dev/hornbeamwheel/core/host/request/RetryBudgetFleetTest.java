package dev.hornbeamwheel.core.host.request;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.ServiceId;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The retries of all hosts together. */
final class RetryBudgetFleetTest {
  private static final ServiceId ARCHIVE = ServiceId.of("plan-archive");

  /** Retries that the users allow for each request, beside the slack of a site. */
  private static final double RETRY_RATIO = 0.2;

  private static final int WINDOW_SECONDS = 10;
  private static final int QUIET_SECONDS = 60;

  /** Guards against a retry budget whose sum grows with the number of hosts or their starts. */
  @ParameterizedTest
  @CsvSource({"25, 141, 12", "95, 230, 60", "141, 346, 83", "142, 348, 131"})
  void theRetriesOfAllHostsStayWithinTheBudget(int hosts, int slack, int requestsPerSecond) {
    Random random = new Random(1);
    List<RetryBudget> budgets =
        new ArrayList<>(IntStream.range(0, hosts).mapToObj(host -> new RetryBudget()).toList());
    for (int request = 0; request < QUIET_SECONDS * requestsPerSecond; request++) {
      budgets.get(random.nextInt(hosts)).addTokens(ARCHIVE);
    }

    int retries = 0;
    for (int request = 0; request < WINDOW_SECONDS * requestsPerSecond; request++) {
      if (request == WINDOW_SECONDS * requestsPerSecond / 2) {
        budgets.replaceAll(ended -> new RetryBudget());
      }
      RetryBudget budget = budgets.get(random.nextInt(hosts));
      budget.addTokens(ARCHIVE);
      retries += budget.tryAcquire(ARCHIVE) ? 1 : 0;
      retries += budget.tryAcquire(ARCHIVE) ? 1 : 0;
    }

    assertThat((double) retries)
        .isLessThanOrEqualTo(RETRY_RATIO * WINDOW_SECONDS * requestsPerSecond + slack);
  }
}
