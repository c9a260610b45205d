package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.recovery.Quarantine;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * The pages of an entry host for operators: its metrics, the requests in quarantine and the
 * explanation of where a request would be routed.
 */
final class OperatorPages implements MonitoringHttpServer.Responder {
  private static final String METRICS_PATH = "/metrics";
  private static final String QUARANTINE_PATH = "/quarantine";

  /** Start of the path that allows a request again; the fingerprint follows, in hexadecimal. */
  private static final String LIFT_PATH = "/quarantine/lift/";

  private static final int HEXADECIMAL = 16;

  private final HostMetrics metrics;
  private final Supplier<List<Quarantine.Entry>> quarantined;
  private final LongConsumer lift;
  private final ExplainPage explainPage;

  /**
   * Creates the pages.
   *
   * @param quarantined returns the requests that are refused now
   * @param lift allows a request again at all hosts, given its fingerprint
   * @param explainPage explains where a request would be routed
   */
  OperatorPages(
      HostMetrics metrics,
      Supplier<List<Quarantine.Entry>> quarantined,
      LongConsumer lift,
      ExplainPage explainPage) {
    this.metrics = metrics;
    this.quarantined = quarantined;
    this.lift = lift;
    this.explainPage = explainPage;
  }

  @Override
  public MonitoringHttpServer.Response respond(HttpMethod method, String path) {
    if (method.equals(HttpMethod.POST) && path.startsWith(LIFT_PATH)) {
      return lift(path.substring(LIFT_PATH.length()));
    }
    if (!method.equals(HttpMethod.GET)) {
      return MonitoringHttpServer.Response.empty(HttpResponseStatus.METHOD_NOT_ALLOWED);
    }
    if (path.startsWith(ExplainPage.PATH)) {
      return explainPage.respond(path);
    }
    return switch (path) {
      case METRICS_PATH -> ok(metricsPage());
      case QUARANTINE_PATH -> ok(quarantinePage());
      default -> MonitoringHttpServer.Response.empty(HttpResponseStatus.NOT_FOUND);
    };
  }

  private MonitoringHttpServer.Response lift(String hexadecimal) {
    OptionalLong fingerprint = fingerprint(hexadecimal);
    if (fingerprint.isEmpty()) {
      return new MonitoringHttpServer.Response(
          HttpResponseStatus.BAD_REQUEST, "not a fingerprint, 1 to 16 hexadecimal digits\n");
    }
    boolean refused =
        quarantined.get().stream()
            .anyMatch(entry -> entry.fingerprint() == fingerprint.getAsLong());
    if (!refused) {
      return new MonitoringHttpServer.Response(
          HttpResponseStatus.NOT_FOUND, "no request with this fingerprint is in quarantine\n");
    }
    lift.accept(fingerprint.getAsLong());
    return ok("lifted; the other hosts follow within a second\n");
  }

  private static OptionalLong fingerprint(String hexadecimal) {
    try {
      return OptionalLong.of(Long.parseUnsignedLong(hexadecimal, HEXADECIMAL));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private static MonitoringHttpServer.Response ok(String body) {
    return new MonitoringHttpServer.Response(HttpResponseStatus.OK, body);
  }

  private String metricsPage() {
    ByteArrayOutputStream page = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(page, metrics.metrics().registry().scrape());
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write the metrics page to memory", e);
    }
    return page.toString(StandardCharsets.UTF_8);
  }

  private String quarantinePage() {
    return quarantined.get().stream()
        .map(OperatorPages::line)
        .collect(Collectors.joining("\n", "", "\n"));
  }

  private static String line(Quarantine.Entry entry) {
    String upstreams =
        entry.crashedUpstreams().stream()
            .map(UpstreamIncarnation::id)
            .map(Object::toString)
            .sorted()
            .collect(Collectors.joining(","));
    return "fingerprint=%s remainingMillis=%d crashedUpstreams=%s"
        .formatted(Long.toHexString(entry.fingerprint()), entry.remainingMillis(), upstreams);
  }
}
