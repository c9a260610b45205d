package dev.hornbeamwheel.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** From the id of a failed request to its cause, by log files alone. */
final class ExplainRequestTest {
  @TempDir Path directory;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private CtlExitCode explain(String id, String... lines) throws Exception {
    Path file = Files.writeString(directory.resolve("hosts.log"), String.join("\n", lines));
    return Ctl.printingTo(print(out), print(err)).run("explain-request", id, file.toString());
  }

  private static PrintStream print(ByteArrayOutputStream to) {
    return new PrintStream(to, true, StandardCharsets.UTF_8);
  }

  private String printed() {
    return out.toString(StandardCharsets.UTF_8);
  }

  @Test
  void aRefusalIsTracedToTheMoveOfItsKey() throws Exception {
    CtlExitCode code =
        explain(
            "a1",
            "4.2 quimper-8 {\"at\":900,\"host\":\"quimper-8\",\"event\":\"keys-move\","
                + "\"service\":\"ledger\",\"subject\":\"10-20 to i-2\",\"reason\":\"owner unfit\"}",
            "{\"at\":901,\"host\":\"quimper-8\",\"event\":\"keys-move\",\"service\":\"ledger\","
                + "\"subject\":\"30-40 to i-3\",\"reason\":\"demand\"}",
            "{\"at\":1000,\"host\":\"h\",\"event\":\"request-failed\",\"request\":\"a1\","
                + "\"service\":\"ledger\",\"key\":17,\"answer\":\"NO_ROOM\","
                + "\"reason\":\"the key's owner has no room\",\"coordinatorAgeMillis\":26}");

    assertThat(code).isEqualTo(CtlExitCode.OK);
    assertThat(printed())
        .contains(
            "owner unfit",
            "within 1 s, with it: 1",
            "cause: refused and not run: the key's owner has no room")
        .doesNotContain("demand");
  }

  @Test
  void anUnknownOutcomeNamesItsUpstreamAndTheOthersThatFailedThere() throws Exception {
    explain(
        "b1",
        "{\"at\":500,\"host\":\"h\",\"event\":\"attempt-failed\",\"request\":\"b0\","
            + "\"upstream\":\"i-9\",\"completion\":\"BROKEN\"}",
        "{\"at\":1000,\"host\":\"h\",\"event\":\"request-failed\",\"request\":\"b1\","
            + "\"upstream\":\"i-9\",\"answer\":\"UPSTREAM_FAILED\",\"reason\":\"BROKEN\"}");

    assertThat(printed()).contains("b0", "cause: unknown outcome: upstream i-9 broke off");
  }

  @Test
  void aRequestInQuarantineNamesTheUpstreamsThatItEnded() throws Exception {
    explain(
        "d1",
        "{\"at\":500,\"host\":\"h\",\"event\":\"upstream-crashed\",\"upstream\":\"i-7\","
            + "\"fingerprint\":\"4b447a\",\"evidence\":\"refused\"}",
        "{\"at\":600,\"host\":\"g\",\"event\":\"upstream-crashed\",\"upstream\":\"i-8\","
            + "\"fingerprint\":\"ffff\",\"evidence\":\"refused\"}",
        "{\"at\":9000,\"host\":\"h\",\"event\":\"request-failed\",\"request\":\"d1\","
            + "\"fingerprint\":\"4b447a\",\"answer\":\"QUARANTINED\","
            + "\"reason\":\"refused for 900 ms\"}");

    assertThat(printed())
        .contains("i-7", "cause: refused and not sent", "4b447a; refused for 900 ms")
        .doesNotContain("i-8");
  }

  @Test
  void aLateAnswerIsSplitIntoWaitingAndWork() throws Exception {
    explain(
        "c1",
        "{\"at\":9,\"host\":\"h\",\"event\":\"request\",\"request\":\"c1\",\"ageMillis\":900,"
            + "\"waitedMillis\":650,\"outcome\":\"answered 200\"}");

    assertThat(printed()).contains("after 900 ms, of which it waited 650 ms for a slot");
  }

  @Test
  void anUnknownRequestAndAMissingFileAreRefusedWithARemedy() throws Exception {
    assertThat(explain("nobody", "no log line")).isEqualTo(CtlExitCode.FAILURE);
    CtlExitCode code =
        Ctl.printingTo(print(out), print(err))
            .run("explain-request", "a", directory.resolve("none.log").toString());

    assertThat(code).isEqualTo(CtlExitCode.FAILURE);
    assertThat(err.toString(StandardCharsets.UTF_8))
        .contains("give the logs of all hosts", "check its path");
  }
}
