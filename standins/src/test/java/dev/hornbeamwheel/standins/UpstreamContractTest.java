package dev.hornbeamwheel.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Epoch;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.Term;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.ownership.SliceGrant;
import dev.hornbeamwheel.core.ownership.UpstreamOrder;
import dev.hornbeamwheel.core.ownership.UpstreamReply;
import dev.hornbeamwheel.platform.LoadResult;
import dev.hornbeamwheel.platform.OrderResult;
import dev.hornbeamwheel.standins.faults.Fault;
import dev.hornbeamwheel.standins.upstream.UpstreamSettings;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What docs/INTERFACES.md says of upstreams, against the stand-in. */
class UpstreamContractTest {
  private static final CellId CELL = CellId.of(ServiceId.of("ledger"), 0);
  private static final long SERVICE_MILLIS = 50;
  private static final long LEASE_MILLIS = 600_000;
  private static final int DOWNLOAD_BYTES = 100_000;

  private final StandinsFixture fixture =
      StandinsFixture.start(new UpstreamSettings(SERVICE_MILLIS, 4, 0, DOWNLOAD_BYTES, true), 500);
  private final HttpClient http = HttpClient.newHttpClient();

  @AfterEach
  void stop() {
    fixture.close();
  }

  @Test
  void aRequestIsRunAndItsIdEchoed() throws Exception {
    HttpResponse<byte[]> answer = send(request(StandinsFixture.DESK, "/orders", "r1"));
    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(header(answer, "Hbw-Request-Id")).isEqualTo("r1");
    assertThat(header(answer, "Hbw-Outcome")).isEqualTo("completed");
    assertThat(runs()).isOne();
  }

  @Test
  void aKeyedRequestRunsOnlyAtTheOwnerAndEpoch() throws Exception {
    assertThat(reason(send(keyed("3", 9)))).isEqualTo("not-owner");
    grant();
    assertThat(send(keyed("3", 9)).statusCode()).isEqualTo(200);
    HttpResponse<byte[]> stale = send(keyed("3", 8));
    assertThat(stale.statusCode()).isEqualTo(409);
    assertThat(reason(stale)).isEqualTo("stale-epoch");
    assertThat(header(stale, "Hbw-Outcome")).isEqualTo("not-run");
    assertThat(runs()).isOne();
  }

  @Test
  void malformedHeadersAreRefusedWithoutARun() throws Exception {
    HttpRequest.Builder noId = HttpRequest.newBuilder(uri(StandinsFixture.DESK, "/orders"));
    assertThat(reason(send(noId))).isEqualTo("malformed");
    assertThat(reason(send(keyed("x.y", 9)))).isEqualTo("malformed");
    assertThat(
            reason(
                send(
                    request(StandinsFixture.DESK, "/orders", "r1")
                        .header("Hbw-Deadline-Millis", "soon"))))
        .isEqualTo("malformed");
    assertThat(runs()).isZero();
  }

  @Test
  void aRequestPastItsDeadlineIsNotRun() throws Exception {
    HttpResponse<byte[]> answer =
        send(request(StandinsFixture.DESK, "/orders", "r1").header("Hbw-Deadline-Millis", "0"));
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(reason(answer)).isEqualTo("expired");
  }

  @Test
  void requestsBeyondSlotsAndQueueAreShed() throws Exception {
    fixture.standins().apply(new Fault.Slow(StandinsFixture.DESK, 20, 60_000));
    List<CompletableFuture<HttpResponse<byte[]>>> sent =
        IntStream.range(0, 12)
            .mapToObj(i -> sendAsync(request(StandinsFixture.DESK, "/orders", "r" + i)))
            .toList();
    List<String> reasons = sent.stream().map(f -> reason(f.join())).toList();
    assertThat(reasons).contains("shed", "");
    assertThat(runs()).isEqualTo(reasons.stream().filter(String::isEmpty).count());
  }

  @Test
  void aDrainingUpstreamRefusesAndFinishesWhatRuns() throws Exception {
    fixture.standins().apply(new Fault.Slow(StandinsFixture.DESK, 10, 60_000));
    CompletableFuture<HttpResponse<byte[]>> running =
        sendAsync(request(StandinsFixture.DESK, "/orders", "r1"));
    awaitAdmission();
    fixture.standins().apply(new Fault.Drain(StandinsFixture.DESK));
    assertThat(reason(send(request(StandinsFixture.DESK, "/orders", "r2")))).isEqualTo("draining");
    assertThat(running.join().statusCode()).isEqualTo(200);
    fixture.standins().apply(new Fault.Return(StandinsFixture.DESK));
    assertThat(send(request(StandinsFixture.DESK, "/orders", "r3")).statusCode()).isEqualTo(200);
  }

  @Test
  void aCancelledRequestIsNotRun() throws Exception {
    fixture.standins().apply(new Fault.Slow(StandinsFixture.DESK, 1000, 60_000));
    CompletableFuture<HttpResponse<byte[]>> running =
        sendAsync(request(StandinsFixture.DESK, "/orders", "r1"));
    awaitAdmission();
    HttpRequest.Builder cancel =
        HttpRequest.newBuilder(uri(StandinsFixture.DESK, "/.well-known/hornbeamwheel/requests/r1"))
            .DELETE();
    assertThat(send(cancel).statusCode()).isEqualTo(200);
    assertThat(reason(running.join())).isEqualTo("cancelled");
    assertThat(send(cancel).statusCode()).isEqualTo(404);
    assertThat(runs()).isZero();
  }

  @Test
  void aCrashingRequestEndsTheUpstreamWhichComesBackWithAnotherIncarnation() throws Exception {
    final Incarnation before = incarnation(StandinsFixture.DESK);
    fixture.standins().apply(new Fault.CrashOn("poison", 0));
    assertThatThrownBy(() -> send(request(StandinsFixture.DESK, "/poison", "r1")))
        .isInstanceOf(IOException.class);
    assertThat(runs()).isZero();
    fixture.standins().apply(new Fault.CrashOn("", 0));
    awaitOther(before);
  }

  @Test
  void aFrozenUpstreamAnswersAfterTheThaw() throws Exception {
    fixture.standins().apply(new Fault.Freeze(StandinsFixture.DESK));
    CompletableFuture<HttpResponse<byte[]>> held =
        sendAsync(request(StandinsFixture.DESK, "/orders", "r1"));
    fixture.standins().apply(new Fault.PretendHealth(StandinsFixture.DESK, Fault.Health.UP));
    assertThat(
            send(HttpRequest.newBuilder(
                    uri(StandinsFixture.DESK, "/.well-known/hornbeamwheel/health")))
                .statusCode())
        .isEqualTo(200);
    assertThat(held).isNotDone();
    fixture.standins().apply(new Fault.Thaw(StandinsFixture.DESK));
    assertThat(held.join().statusCode()).isEqualTo(200);
  }

  @Test
  void disturbedAnswersAreCrossedShortOrLostAfterTheRun() throws Exception {
    send(request(StandinsFixture.DESK, "/orders", "r1"));
    disturb(Fault.Disturbance.CROSSED);
    HttpResponse<byte[]> crossed = send(request(StandinsFixture.DESK, "/orders", "r2"));
    assertThat(header(crossed, "Hbw-Request-Id")).isEqualTo("r1");
    disturb(Fault.Disturbance.SHORT);
    assertThatThrownBy(() -> send(request(StandinsFixture.DESK, "/downloads/plan", "r3")))
        .isInstanceOf(IOException.class);
    disturb(Fault.Disturbance.LOST);
    // A POST, since the client sends a GET again by itself.
    HttpRequest.Builder order =
        request(StandinsFixture.DESK, "/orders", "r4").POST(HttpRequest.BodyPublishers.noBody());
    assertThatThrownBy(() -> send(order)).isInstanceOf(IOException.class);
    assertThat(runs()).isEqualTo(4);
  }

  @Test
  void aDownloadResumesByRangeUnderItsValidator() throws Exception {
    HttpResponse<byte[]> whole = send(request(StandinsFixture.DESK, "/downloads/plan", "r1"));
    assertThat(whole.body()).hasSize(DOWNLOAD_BYTES);
    String etag = header(whole, "ETag");
    HttpResponse<byte[]> rest =
        send(
            request(StandinsFixture.DESK, "/downloads/plan", "r2")
                .header("Range", "bytes=99000-")
                .header("If-Range", etag));
    assertThat(rest.statusCode()).isEqualTo(206);
    assertThat(header(rest, "Content-Range")).isEqualTo("bytes 99000-99999/100000");
    assertThat(rest.body()).isEqualTo(Arrays.copyOfRange(whole.body(), 99_000, DOWNLOAD_BYTES));
    HttpResponse<byte[]> other =
        send(
            request(StandinsFixture.DESK, "/downloads/plan", "r3")
                .header("Range", "bytes=99000-")
                .header("If-Range", "\"other\""));
    assertThat(other.statusCode()).isEqualTo(200);
    assertThat(
            send(request(StandinsFixture.DESK, "/downloads/plan", "r4")
                    .header("Range", "bytes=100000-"))
                .statusCode())
        .isEqualTo(416);
  }

  @Test
  void idempotencyKeysThatRanTwiceAreReported() throws Exception {
    for (String id : List.of("r1", "r2")) {
      send(request(StandinsFixture.DESK, "/orders", id).header("Idempotency-Key", "k"));
    }
    assertThat(fixture.standins().runs().orElseThrow().summary().repeatedKeys())
        .containsEntry("k", 2L);
  }

  @Test
  void aCallersPathNeverReachesTheOrders() throws Exception {
    HttpResponse<byte[]> answer =
        send(
            request(StandinsFixture.DESK, "/orders", "r1")
                .POST(HttpRequest.BodyPublishers.ofString("[]")));
    assertThat(header(answer, "Hbw-Outcome")).isEqualTo("completed");
  }

  @Test
  void malformedOrdersAndFaultsAreRefused() throws Exception {
    String operator = fixture.standins().operatorAddress().toString().replaceAll(".*/", "");
    List<URI> surfaces =
        List.of(
            uri(StandinsFixture.LEDGER, "/.well-known/hornbeamwheel/orders"),
            URI.create("http://" + operator + "/faults"));
    for (URI surface : surfaces) {
      for (String body : List.of("", "{", "[{}]", "{\"type\": \"earthquake\"}", "null")) {
        HttpResponse<byte[]> answer =
            send(HttpRequest.newBuilder(surface).POST(HttpRequest.BodyPublishers.ofString(body)));
        assertThat(answer.statusCode()).as(surface + " " + body).isEqualTo(400);
        assertThat(header(answer, "Content-Type")).isEqualTo("application/problem+json");
      }
    }
  }

  private void disturb(Fault.Disturbance how) {
    fixture.standins().apply(new Fault.DisturbAnswers(StandinsFixture.DESK, how, 1, 0));
  }

  private UpstreamReply order(UpstreamOrder order) {
    OrderResult result =
        fixture
            .client()
            .upstreamOrders()
            .send(fixture.address(StandinsFixture.LEDGER), List.of(order))
            .join();
    return ((OrderResult.Replied) result).replies().get(0);
  }

  private void grant() {
    UpstreamReply clock = order(new UpstreamOrder.ReadClock(CELL, 1));
    UpstreamReply reply =
        order(
            new UpstreamOrder.Replace(
                CELL,
                2,
                Term.of(1, 0),
                clock.incarnation(),
                clock.clockMillis() + LEASE_MILLIS,
                7,
                List.of(new SliceGrant(Slice.ofShard(3), Epoch.of(9)))));
    assertThat(reply.outcome()).isEqualTo(UpstreamReply.Outcome.DONE);
    assertThat(reply.setVersion()).isEqualTo(7);
  }

  private HttpRequest.Builder keyed(String slice, long epoch) {
    return request(StandinsFixture.LEDGER, "/parts", "r-" + slice + "-" + epoch)
        .header("Hbw-Key", "mill-7")
        .header("Hbw-Slice", slice)
        .header("Hbw-Epoch", Long.toString(epoch));
  }

  private HttpRequest.Builder request(UpstreamId upstream, String path, String id) {
    return HttpRequest.newBuilder(uri(upstream, path)).header("Hbw-Request-Id", id);
  }

  private URI uri(UpstreamId upstream, String path) {
    return URI.create("http://" + fixture.address(upstream) + path);
  }

  private HttpResponse<byte[]> send(HttpRequest.Builder request) throws Exception {
    return http.send(
        request.timeout(Duration.ofSeconds(30)).build(), HttpResponse.BodyHandlers.ofByteArray());
  }

  private CompletableFuture<HttpResponse<byte[]>> sendAsync(HttpRequest.Builder request) {
    return http.sendAsync(
        request.timeout(Duration.ofSeconds(30)).build(), HttpResponse.BodyHandlers.ofByteArray());
  }

  /** Waits until a request runs or has run. */
  private void awaitAdmission() throws InterruptedException {
    while (((LoadResult.Reported) load()).report().running() == 0 && runs() == 0) {
      Thread.sleep(1);
    }
  }

  private void awaitOther(Incarnation before) throws InterruptedException {
    while (!(load() instanceof LoadResult.Reported reported)
        || reported.report().incarnation().equals(before)) {
      Thread.sleep(1);
    }
  }

  private LoadResult load() {
    return fixture.client().upstreamLoad().read(fixture.address(StandinsFixture.DESK)).join();
  }

  private Incarnation incarnation(UpstreamId upstream) {
    LoadResult result = fixture.client().upstreamLoad().read(fixture.address(upstream)).join();
    return ((LoadResult.Reported) result).report().incarnation();
  }

  private long runs() {
    return fixture.standins().runs().orElseThrow().summary().runs();
  }

  private static String reason(HttpResponse<byte[]> answer) {
    return header(answer, "Hbw-Reason");
  }

  private static String header(HttpResponse<byte[]> answer, String name) {
    return answer.headers().firstValue(name).orElse("");
  }
}
