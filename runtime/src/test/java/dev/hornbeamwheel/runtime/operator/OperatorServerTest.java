package dev.hornbeamwheel.runtime.operator;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.runtime.metrics.Metrics;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class OperatorServerTest {
  private final Metrics metrics = Metrics.empty();
  private final Readiness readiness = Readiness.off();
  private OperatorServer server;

  private record Status(String member, int cells) {}

  @BeforeEach
  void start() {
    server =
        OperatorServer.start(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            new OperatorServer.Pages(metrics, readiness, () -> true, () -> new Status("m", 2)));
  }

  @AfterEach
  void stop() {
    server.close();
  }

  @Test
  void readinessFollowsTheProgram() throws Exception {
    assertThat(get("/ready").statusCode()).isEqualTo(503);
    readiness.ready();
    assertThat(get("/ready").statusCode()).isEqualTo(200);
    readiness.stopping();
    readiness.ready();
    assertThat(get("/ready").statusCode()).isEqualTo(503);
  }

  @Test
  void showsMetricsStatusAndLiveness() throws Exception {
    metrics.counter("hornbeamwheel_drops_total", "Drops.").inc(3);

    assertThat(get("/metrics").body()).contains("hornbeamwheel_drops_total 3.0");
    assertThat(get("/status").body()).isEqualTo("{\"member\":\"m\",\"cells\":2}\n");
    assertThat(get("/live").statusCode()).isEqualTo(200);
    assertThat(get("/else").statusCode()).isEqualTo(404);
  }

  private HttpResponse<String> get(String path) throws IOException, InterruptedException {
    URI uri = URI.create("http://127.0.0.1:" + server.address().getPort() + path);
    return HttpClient.newHttpClient()
        .send(HttpRequest.newBuilder(uri).build(), BodyHandlers.ofString());
  }
}
