package dev.hornbeamwheel.standins;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.platform.Bytes;
import dev.hornbeamwheel.platform.HostListResult;
import dev.hornbeamwheel.platform.ListResult;
import dev.hornbeamwheel.platform.ObjectResult;
import dev.hornbeamwheel.platform.OperationId;
import dev.hornbeamwheel.platform.ReadResult;
import dev.hornbeamwheel.platform.TableClient;
import dev.hornbeamwheel.platform.TableRow;
import dev.hornbeamwheel.platform.WriteResult;
import dev.hornbeamwheel.platform.http.HttpPlatform;
import dev.hornbeamwheel.standins.faults.Fault;
import dev.hornbeamwheel.standins.faults.ListedHost;
import dev.hornbeamwheel.standins.upstream.UpstreamSettings;
import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What docs/INTERFACES.md says of the platform, through the adapters and against the stand-in. */
class HttpContractTest {
  private static final int WRITES_PER_SECOND = 20;
  private static final Bytes VALUE = Bytes.ofUtf8("value");

  private final StandinsFixture fixture =
      StandinsFixture.start(new UpstreamSettings(0, 8, 0, 1000, true), WRITES_PER_SECOND);
  private final TableClient table = fixture.client().table();

  @AfterEach
  void stop() {
    fixture.close();
  }

  @Test
  void aRowIsWrittenOnlyOnConditionOfItsVersion() {
    assertThat(write("cell/a/0", 0, "one")).isEqualTo(new WriteResult.Written(1));
    assertThat(write("cell/a/0", 1, "two")).isEqualTo(new WriteResult.Written(2));
    assertThat(write("cell/a/0", 1, "three"))
        .isEqualTo(new WriteResult.Conflict(2, OperationId.of("two")));
    assertThat(write("cell/b/0", 4, "four"))
        .isEqualTo(new WriteResult.Conflict(0, OperationId.NONE));
  }

  @Test
  void aRepeatedOperationIsAnsweredAsBefore() {
    write("row", 0, "one");
    assertThat(write("row", 0, "one")).isEqualTo(new WriteResult.Written(1));
  }

  @Test
  void aRowIsReadWithVersionAndOperation() {
    write("row", 0, "one");
    assertThat(table.read("row").join())
        .isEqualTo(new ReadResult.Found(new TableRow("row", 1, OperationId.of("one"), VALUE)));
    assertThat(table.read("other").join()).isEqualTo(new ReadResult.Absent());
  }

  @Test
  void rowsAreListedByPrefixInOrder() {
    List.of("cell/b/0", "cell/a/1", "limits/0", "cell/a/0").forEach(name -> write(name, 0, name));
    ListResult.Rows rows = (ListResult.Rows) table.list("cell/").join();
    assertThat(rows.rows())
        .extracting(TableRow::name)
        .containsExactly("cell/a/0", "cell/a/1", "cell/b/0");
    assertThat(rows.rows().get(0).value()).isEqualTo(VALUE);
  }

  @Test
  void aLostAnswerIsUnknownAndSettledByTheSameOperation() {
    fixture.standins().apply(new Fault.LoseWriteAnswers(1));
    assertThat(write("row", 0, "one")).isInstanceOf(WriteResult.Unknown.class);
    assertThat(write("row", 0, "one")).isEqualTo(new WriteResult.Written(1));
  }

  @Test
  void aPlatformThatRefusesHasCertainlyWrittenNothing() {
    down(Fault.DownMode.REFUSE);
    assertThat(write("row", 0, "one")).isInstanceOf(WriteResult.Unavailable.class);
    assertThat(table.read("row").join()).isInstanceOf(ReadResult.Unavailable.class);
    assertThat(table.list("").join()).isInstanceOf(ListResult.Unavailable.class);
    up();
    assertThat(table.read("row").join()).isEqualTo(new ReadResult.Absent());
  }

  @Test
  void aPlatformThatClosesTheConnectionLeavesTheWriteUnknown() {
    down(Fault.DownMode.CLOSE);
    assertThat(write("row", 0, "one")).isInstanceOf(WriteResult.Unknown.class);
    up();
    assertThat(write("row", 0, "one")).isEqualTo(new WriteResult.Written(1));
  }

  @Test
  void aPortThatNobodyListensOnHasCertainlyWrittenNothing() throws IOException {
    int port;
    try (ServerSocket socket = new ServerSocket(0)) {
      port = socket.getLocalPort();
    }
    try (HttpPlatform away = HttpPlatform.create("127.0.0.1:" + port, Duration.ofSeconds(10))) {
      assertThat(away.table().write("row", 0, VALUE, OperationId.random()).join())
          .isInstanceOf(WriteResult.Unavailable.class);
    }
  }

  @Test
  void aSlowPlatformAnswersLate() {
    fixture.standins().apply(new Fault.PlatformSlow(50));
    assertThat(write("row", 0, "one")).isEqualTo(new WriteResult.Written(1));
    try (HttpPlatform hasty = HttpPlatform.create(address(), Duration.ofMillis(1))) {
      assertThat(hasty.table().write("row", 1, VALUE, OperationId.random()).join())
          .isInstanceOf(WriteResult.Unknown.class);
    }
  }

  @Test
  void writesBeyondTheRateAreRefused() {
    List<WriteResult> results =
        IntStream.range(0, 10 * WRITES_PER_SECOND)
            .mapToObj(i -> write("row" + i, 0, "operation" + i))
            .toList();
    assertThat(results)
        .hasAtLeastOneElementOfType(WriteResult.Written.class)
        .hasAtLeastOneElementOfType(WriteResult.Unavailable.class);
  }

  @Test
  void objectsAreStoredAndRead() {
    var objects = fixture.client().objectStore();
    assertThat(objects.read("configuration/1").join()).isEqualTo(new ObjectResult.Absent());
    assertThat(objects.store("configuration/1", VALUE).join()).isEqualTo(new ObjectResult.Stored());
    assertThat(objects.read("configuration/1").join()).isEqualTo(new ObjectResult.Found(VALUE));
    down(Fault.DownMode.REFUSE);
    assertThat(objects.read("configuration/1").join()).isInstanceOf(ObjectResult.Unavailable.class);
  }

  @Test
  void theHostListShowsWhatWasOrdered() {
    ListedHost.ListedMember member =
        new ListedHost.ListedMember(MemberId.of("q/router"), "127.0.0.1:1", "127.0.0.1:2");
    fixture
        .standins()
        .apply(
            new Fault.ListHosts(
                List.of(
                    new ListedHost(
                        HostId.of("q"), DataCentreId.of("quimper"), true, List.of(member)))));
    HostListResult.Hosts hosts = (HostListResult.Hosts) fixture.client().hostList().read().join();
    assertThat(hosts.hosts())
        .singleElement()
        .satisfies(
            host -> {
              assertThat(host.leaving()).isTrue();
              assertThat(host.members().get(0).operatorAddress()).isEqualTo("127.0.0.1:2");
            });
  }

  private WriteResult write(String name, long expected, String operation) {
    return table.write(name, expected, VALUE, OperationId.of(operation)).join();
  }

  private String address() {
    var address = fixture.standins().platform().orElseThrow().addresses().get(0);
    return "127.0.0.1:" + address.getPort();
  }

  private void down(Fault.DownMode mode) {
    fixture.standins().apply(new Fault.PlatformDown("quimper", mode));
  }

  private void up() {
    fixture.standins().apply(new Fault.PlatformUp("all"));
  }
}
