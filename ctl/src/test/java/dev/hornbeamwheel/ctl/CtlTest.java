package dev.hornbeamwheel.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Epoch;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.core.model.Key;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.ownership.Assignment;
import dev.hornbeamwheel.core.ownership.Assignments;
import dev.hornbeamwheel.core.ownership.CellRow;
import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.platform.Bytes;
import dev.hornbeamwheel.platform.OperationId;
import dev.hornbeamwheel.platform.WriteResult;
import dev.hornbeamwheel.platform.http.HttpPlatform;
import dev.hornbeamwheel.platform.store.CellRowCodec;
import dev.hornbeamwheel.standins.faults.Fault;
import dev.hornbeamwheel.standins.faults.ListedHost;
import dev.hornbeamwheel.standins.platform.PlatformSettings;
import dev.hornbeamwheel.standins.platform.PlatformStandin;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command against a platform stand-in in this process. */
class CtlTest {
  private static final Path EXAMPLE = Path.of("..", "examples", "kerbriant");
  private static final Key MILL = Key.of("mill-7");

  private final PlatformStandin platform = startPlatform();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  @TempDir private Path directory;

  @AfterEach
  void stop() {
    platform.close();
  }

  @Test
  void anApplyPutsDeclarationsInForce() throws InterruptedException {
    assertThat(ctl("apply", EXAMPLE.toString())).isEqualTo(CtlExitCode.OK);
    assertThat(printed()).contains("+ service stock-ledger", "version 1");
    assertThat(ctl("diff", EXAMPLE.toString())).isEqualTo(CtlExitCode.OK);
    assertThat(printed()).isEqualToIgnoringNewLines("planned against version 1");
  }

  @Test
  void anApplyOfTheSameDeclarationsChangesNothing() throws InterruptedException {
    ctl("apply", EXAMPLE.toString());
    assertThat(ctl("apply", EXAMPLE.toString())).isEqualTo(CtlExitCode.OK);
    assertThat(printed()).contains("nothing to change at version 1");
  }

  @Test
  void theLoserOfARaceIsToldWhoWonAndHowToRedo() throws InterruptedException {
    ctl("apply", EXAMPLE.toString());
    ctl("--operator", "mireille", "drain", "upstream", "order-desk-1");
    printed();
    assertThat(ctl("apply", EXAMPLE.toString(), "--planned", "1")).isEqualTo(CtlExitCode.LOST_RACE);
    assertThat(problems()).contains("mireille", "version 2", "diff", "#apply-lost-race");
    ctl("status");
    assertThat(printed()).contains("version 2 by mireille");
  }

  @Test
  void aLostAnswerIsSettledAndTheChangeAppliedOnce() throws InterruptedException {
    platform.apply(new Fault.LoseWriteAnswers(1));
    assertThat(ctl("apply", EXAMPLE.toString())).isEqualTo(CtlExitCode.OK);
    ctl("status");
    assertThat(printed()).contains("configuration: version 1");
  }

  @Test
  void anAbsentPlatformChangesNothing() throws InterruptedException {
    platform.apply(new Fault.PlatformDown("all", Fault.DownMode.REFUSE));
    assertThat(ctl("apply", EXAMPLE.toString())).isEqualTo(CtlExitCode.PLATFORM_UNAVAILABLE);
    assertThat(problems()).contains("check that the platform runs");
    assertThat(ctl("status")).isEqualTo(CtlExitCode.PLATFORM_UNAVAILABLE);
    assertThat(ctl("explain", "stock-ledger", "mill-7"))
        .isEqualTo(CtlExitCode.PLATFORM_UNAVAILABLE);
  }

  @Test
  void declarationsAreValidatedWithoutAPlatform() throws InterruptedException {
    platform.apply(new Fault.PlatformDown("all", Fault.DownMode.CLOSE));
    assertThat(ctl("validate", EXAMPLE.toString())).isEqualTo(CtlExitCode.OK);
    assertThat(printed()).contains("36 upstreams");
  }

  @Test
  void refusedDeclarationsAreNamedWithFileAndRemedy() throws Exception {
    Files.writeString(directory.resolve("services.json"), "{");
    assertThat(ctl("apply", directory.toString())).isEqualTo(CtlExitCode.INVALID_DECLARATIONS);
    assertThat(problems()).contains("services.json, line 1", "contracts.json does not exist");
  }

  @Test
  void removalsSurviveAnApplyAndEndWithAReturn() throws InterruptedException {
    ctl("apply", EXAMPLE.toString());
    assertThat(ctl("drain", "data-centre", "vannes")).isEqualTo(CtlExitCode.OK);
    assertThat(ctl("declare-lost", "morlaix")).isEqualTo(CtlExitCode.OK);
    assertThat(ctl("apply", EXAMPLE.toString())).isEqualTo(CtlExitCode.OK);
    printed();
    ctl("status");
    assertThat(printed())
        .contains("drained data centres: [vannes]", "lost data centres: [morlaix]");
    ctl("return", "data-centre", "vannes");
    ctl("return", "data-centre", "morlaix");
    printed();
    ctl("status");
    assertThat(printed()).contains("drained data centres: []", "lost data centres: []");
  }

  @Test
  void anUndeclaredNameIsRefused() throws InterruptedException {
    ctl("apply", EXAMPLE.toString());
    assertThat(ctl("drain", "upstream", "nobody")).isEqualTo(CtlExitCode.UNKNOWN_NAME);
    assertThat(ctl("explain", "nothing", "mill-7")).isEqualTo(CtlExitCode.UNKNOWN_NAME);
    assertThat(problems()).contains("upstream nobody", "service nothing");
  }

  @Test
  void explainNamesOwnerEpochAndMove() throws InterruptedException {
    ctl("apply", EXAMPLE.toString());
    ctl("explain", "stock-ledger", MILL.value());
    assertThat(printed()).contains("the cell has no row");
    writeRow(MILL.shard(1024).index());
    ctl("explain", "stock-ledger", MILL.value());
    assertThat(printed())
        .contains("owner stock-ledger-1, epoch 7", "stock-ledger-4 gives it up first");
    ctl("explain", "order-desk", "any");
    assertThat(printed()).contains("pooled");
  }

  @Test
  void statusShowsCellsAndMembersThatDoNotAnswer() throws InterruptedException {
    ctl("apply", EXAMPLE.toString());
    writeRow(0);
    printed();
    assertThat(ctl("status", "--json")).isEqualTo(CtlExitCode.OK);
    assertThat(printed())
        .contains("\"stock-ledger-1\" : 1", "\"moving\" : 1", "quimper-1/router", "gave no answer");
  }

  @Test
  void anUnreadableRowEndsTheCommandWithAMessage() throws InterruptedException {
    ctl("apply", EXAMPLE.toString());
    write("cell/stock-ledger/0", Bytes.ofUtf8("{}"));
    assertThat(ctl("status")).isEqualTo(CtlExitCode.FAILURE);
    assertThat(problems()).contains("cell/stock-ledger/0", "#ctl-row-unreadable");
  }

  @Test
  void everySectionThatAMessageNamesIsInTheTroubleshootingPage() throws Exception {
    String page = Files.readString(Path.of("..", "docs", "TROUBLESHOOTING.md"));
    assertThat(
            List.of(
                "apply-lost-race",
                "apply-not-applied",
                "apply-outcome-unknown",
                "ctl-unknown-name",
                "ctl-row-unreadable"))
        .allSatisfy(anchor -> assertThat(page).contains("\n## " + anchor + "\n"));
  }

  private void writeRow(int shard) {
    CellId cell = CellId.of(ServiceId.of("stock-ledger"), shard * 4 / 1024);
    Assignment assignment =
        new Assignment(
            Slice.ofShard(shard),
            UpstreamId.of("stock-ledger-1"),
            Epoch.of(7),
            Optional.of(UpstreamId.of("stock-ledger-4")));
    CellRow row =
        new CellRow(
            cell,
            1,
            1,
            DataCentreId.of("quimper"),
            List.of(),
            List.of(),
            List.of(),
            Assignments.of(List.of(assignment)),
            "operation");
    write(cell.rowName(), CellRowCodec.create().encode(row));
  }

  private void write(String name, Bytes value) {
    try (HttpPlatform client = HttpPlatform.create(address(), Duration.ofSeconds(10))) {
      WriteResult result = client.table().write(name, 0, value, OperationId.random()).join();
      assertThat(result).isInstanceOf(WriteResult.Written.class);
    }
  }

  private CtlExitCode ctl(String... args) throws InterruptedException {
    List<String> all = new ArrayList<>(List.of("--platform", address(), "--patience", "2"));
    all.addAll(List.of(args));
    PrintStream results = new PrintStream(out, true, StandardCharsets.UTF_8);
    PrintStream problems = new PrintStream(err, true, StandardCharsets.UTF_8);
    return Ctl.printingTo(results, problems).run(all.toArray(new String[0]));
  }

  private String printed() {
    String text = out.toString(StandardCharsets.UTF_8);
    out.reset();
    return text;
  }

  private String problems() {
    return err.toString(StandardCharsets.UTF_8);
  }

  private String address() {
    return "127.0.0.1:" + platform.addresses().get(0).getPort();
  }

  private static PlatformStandin startPlatform() {
    InetSocketAddress free = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    ListedHost.ListedMember member =
        new ListedHost.ListedMember(MemberId.of("quimper-1/router"), "127.0.0.1:1", "127.0.0.1:1");
    return PlatformStandin.start(
        new PlatformSettings(
            List.of(new PlatformSettings.Entrance("quimper", free)),
            2000,
            500,
            0,
            List.of(
                new ListedHost(
                    HostId.of("quimper-1"), DataCentreId.of("quimper"), false, List.of(member)))),
        Clock.monotonic());
  }
}
