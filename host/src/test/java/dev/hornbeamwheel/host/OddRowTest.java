package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.node.HostEvent;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.platform.site.PlatformAdapter;
import dev.hornbeamwheel.standins.site.KeyedUpstreamStandin;
import dev.hornbeamwheel.standins.site.SiteCaller;
import dev.hornbeamwheel.standins.site.StoreStandin;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests rows of another writer among those of the upstreams and operators. */
final class OddRowTest {
  private static final long EVENT_TIMEOUT_SECONDS = 5;
  private static final String ODD_ID = "i-desk-odd";

  private final EventLoopGroup loop = HostModule.loop();
  private final BlockingQueue<HostEvent> events = new LinkedBlockingQueue<>();
  private final List<LogEntry> log = new CopyOnWriteArrayList<>();
  private StoreStandin store;
  private KeyedUpstreamStandin upstream;
  private PlatformAdapter platform;

  @BeforeEach
  void start() {
    store = StoreStandin.start(0);
    upstream = KeyedUpstreamStandin.start("i-desk-0", false);
    platform =
        PlatformAdapter.create(
            new Address("127.0.0.1", store.port()),
            loop,
            HostModule.clock(),
            events::add,
            log::add);
  }

  @AfterEach
  void stop() {
    loop.execute(platform::stop);
    upstream.close();
    store.close();
    var unused = loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Guards against an odd row that ends the following of the upstreams' table. */
  @ParameterizedTest
  @MethodSource("oddRows")
  void oddRegistrationIsLeftOutAndTheOthersHold(String name, String key, String document)
      throws Exception {
    putGood("i-desk-0");
    store.put("servers", key, document);
    putGood("i-zone-9");
    loop.execute(platform::start);

    HostEvent.UpstreamsRead snapshot = await(HostEvent.UpstreamsRead.class);
    assertThat(snapshot.entries().stream().map(entry -> entry.id().value()))
        .containsExactlyInAnyOrder("i-desk-0", "i-zone-9");

    for (int i = 1; i <= 2; i++) {
      store.put("servers", key, document);
      putGood("i-desk-" + i);
      assertThat(await(HostEvent.UpstreamChanged.class).entry().id().value())
          .isEqualTo("i-desk-" + i);
    }
    store.remove("servers", key);
    putGood("i-desk-4");
    assertThat(await(HostEvent.UpstreamChanged.class).entry().id().value()).isEqualTo("i-desk-4");
    assertThat(logged("registration-unreadable")).as(name).isEqualTo(1);
  }

  static Stream<Arguments> oddRows() {
    String good = registration(8608);
    return Stream.of(
        Arguments.of("nested arrays", ODD_ID, "[".repeat(500_000) + "]".repeat(500_000)),
        Arguments.of("nested objects", ODD_ID, "{\"a\":".repeat(100_000) + "}".repeat(100_000)),
        Arguments.of("nested field", ODD_ID, withField("[".repeat(1_001) + "]".repeat(1_001))),
        Arguments.of("long number", ODD_ID, withField("1" + "0".repeat(5_000))),
        Arguments.of("late start", ODD_ID, good.replace("1700000000000", "99999999999999999999")),
        Arguments.of("many slots", ODD_ID, good.replace("\"slots\":2", "\"slots\":4294967300")),
        Arguments.of("port out of range", ODD_ID, registration(99_999)),
        Arguments.of("negative port", ODD_ID, registration(-1)),
        Arguments.of("host name", ODD_ID, good.replace("127.0.0.1", "upstream.example")),
        Arguments.of("no JSON", ODD_ID, "\u0000\u0007"),
        Arguments.of("empty", ODD_ID, ""),
        Arguments.of("empty key", "", good),
        Arguments.of("blank key", " ", good),
        Arguments.of("empty key and document", "", ""),
        Arguments.of("key with line break", "i-desk\r\n-odd", good));
  }

  /** Guards against a blank name that ends the following of the operators' table. */
  @ParameterizedTest
  @ValueSource(strings = {"", " ", "\t", "\u2003"})
  void evacuationWithoutNameIsLeftOutAndTheOthersHold(String name) throws Exception {
    store.put("op", "evacuate/" + name, "{}");
    store.put("op", "evacuate/vannes", "{}");
    loop.execute(platform::start);

    awaitEvacuated("vannes");
    store.put("op", "evacuate/" + name, "{}");
    store.put("op", "evacuate/morlaix", "{}");
    awaitEvacuated("morlaix", "vannes");
    store.remove("op", "evacuate/" + name);
    store.remove("op", "evacuate/vannes");
    awaitEvacuated("morlaix");
    store.put("op", "config", SiteCaller.CONFIGURATION);
    await(HostEvent.ConfigurationRead.class);
    assertThat(logged("evacuation-unreadable")).isEqualTo(1);
  }

  /** Guards against an unreadable row that keeps an upstream which registered before it. */
  @Test
  void upstreamWhoseRowBecomesUnreadableIsRemoved() throws Exception {
    putGood("i-desk-0");
    loop.execute(platform::start);
    await(HostEvent.UpstreamsRead.class);

    store.put("servers", "i-desk-0", "{}");
    assertThat(await(HostEvent.UpstreamRemoved.class).upstream())
        .isEqualTo(UpstreamId.of("i-desk-0"));
    putGood("i-desk-0");
    assertThat(await(HostEvent.UpstreamChanged.class).entry().id())
        .isEqualTo(UpstreamId.of("i-desk-0"));
    store.put("servers", "i-desk-0", "[]");
    await(HostEvent.UpstreamRemoved.class);
    assertThat(logged("registration-unreadable")).isEqualTo(2);
  }

  private void putGood(String id) {
    store.put("servers", id, upstream.registration("desk", "quimper", false));
  }

  private void awaitEvacuated(String... names) throws InterruptedException {
    Set<DataCentreId> expected =
        Stream.of(names).map(DataCentreId::of).collect(Collectors.toUnmodifiableSet());
    while (!await(HostEvent.EvacuationsRead.class).dataCentres().equals(expected)) {
      // Each change of a data centre is an event of its own.
    }
  }

  private <E extends HostEvent> E await(Class<E> kind) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(EVENT_TIMEOUT_SECONDS);
    HostEvent event;
    do {
      event = events.poll(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
      assertThat(event).as(kind.getSimpleName()).isNotNull();
    } while (!kind.isInstance(event));
    return kind.cast(event);
  }

  private long logged(String event) {
    return log.stream().filter(entry -> entry.event().equals(event)).count();
  }

  private static String registration(int port) {
    return """
        {"address":"127.0.0.1:%d","born":1700000000000,
         "server_info":{"service":"desk","version":"v1","zone":"quimper","slots":2},
         "status":{"state":"ready","sequence":4,"cold_remaining_ms":0}}"""
        .formatted(port);
  }

  private static String withField(String value) {
    return "{\"extra\":" + value + "," + registration(8608).substring(1);
  }
}
