package dev.hornbeamwheel.controller;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.config.ConfigurationRow;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.ownership.UpstreamOrder;
import dev.hornbeamwheel.platform.WriteResult;
import dev.hornbeamwheel.platform.store.ConfigurationStore;
import dev.hornbeamwheel.runtime.cli.StartResult;
import dev.hornbeamwheel.runtime.settings.SettingsReader;
import dev.hornbeamwheel.runtime.settings.SettingsResult;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

final class ControllerMainTest {
  private static final Duration PATIENCE = Duration.ofSeconds(60);

  private final FakePlatform platform = new FakePlatform();

  @Test
  void leadsItsCellsGrantsAllSlicesAndStopsGracefully() throws Exception {
    applyConfiguration();
    ControllerServer server = start(settings(0));
    try {
      await(() -> granted() == Samples.SHARDS);

      assertThat(server.status().cellsLed()).contains(Samples.CELL.toString());
      assertThat(server.status().configurationVersion()).isEqualTo(1);
      assertThat(get(server, "/ready")).isEqualTo("ready\n");
      assertThat(get(server, "/metrics"))
          .contains("hornbeamwheel_upstream_orders_total{kind=\"replace\"}")
          .contains("hornbeamwheel_cells_led");
    } finally {
      server.stop();
      server.stop();
    }
  }

  @Test
  void reportsWhichAddressIsUnavailable() throws Exception {
    ControllerServer server = start(settings(0));
    try {
      int taken = server.operatorAddress().getPort();
      StartResult second = ControllerMain.start(settings(taken), platform.services());

      assertThat(second).isInstanceOf(StartResult.Failed.class);
      assertThat(((StartResult.Failed) second).error().message())
          .startsWith("operatorAddress: cannot listen on");
    } finally {
      server.stop();
    }
  }

  @Test
  void theExampleSettingsAreValid() {
    SettingsResult<ControllerSettings> result =
        SettingsReader.read(Path.of("..", "examples", "controller.json"), ControllerSettings::read);

    assertThat(result).isInstanceOf(SettingsResult.Accepted.class);
  }

  private void applyConfiguration() {
    ConfigurationStore store =
        ConfigurationStore.of(platform.services().table(), platform.services().objects());
    WriteResult result =
        store
            .write(new ConfigurationRow(Samples.configuration(1), "test", List.of("op")), 0)
            .join();
    assertThat(result).isInstanceOf(WriteResult.Written.class);
  }

  private ControllerServer start(ControllerSettings settings) {
    StartResult result = ControllerMain.start(settings, platform.services());
    assertThat(result).isInstanceOf(StartResult.Started.class);
    return (ControllerServer) ((StartResult.Started) result).program();
  }

  private long granted() {
    return platform.orders.stream()
        .flatMap(List::stream)
        .filter(UpstreamOrder.Replace.class::isInstance)
        .mapToLong(order -> ((UpstreamOrder.Replace) order).grants().size())
        .max()
        .orElse(0);
  }

  private static ControllerSettings settings(int operatorPort) {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    return new ControllerSettings(
        MemberId.of("quimper-1/controller"),
        HostId.of("quimper-1"),
        Samples.QUIMPER,
        new InetSocketAddress(loopback, 0),
        new InetSocketAddress(loopback, operatorPort),
        "127.0.0.1:1",
        List.of(),
        1);
  }

  private static String get(ControllerServer server, String path) throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + server.operatorAddress().getPort() + path);
    return HttpClient.newHttpClient()
        .send(HttpRequest.newBuilder(uri).build(), BodyHandlers.ofString())
        .body();
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + PATIENCE.toNanos();
    while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
      TimeUnit.MILLISECONDS.sleep(50);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }
}
