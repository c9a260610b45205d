package dev.hornbeamwheel.router.upstream;

import java.util.Set;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;

/** Makes the HTTP request of an attempt. */
final class AttemptRequests {
  private static final Set<String> BODY_METHODS = Set.of("POST", "PUT", "PATCH");

  private AttemptRequests() {}

  static Request of(AttemptSpec spec) {
    Request.Builder request =
        new Request.Builder()
            .url(HttpUrl.get("http://" + spec.address() + spec.target()))
            .headers(spec.headers())
            .header(UpstreamHeaders.REQUEST_ID, spec.requestId().value())
            .header(UpstreamHeaders.SLICE, sliceText(spec))
            .header(UpstreamHeaders.EPOCH, Long.toString(spec.epoch()))
            .header(UpstreamHeaders.DEADLINE_MILLIS, Long.toString(spec.timeoutMillis()))
            .header("Accept-Encoding", "identity")
            .method(spec.method(), body(spec));
    spec.key().ifPresent(key -> request.header(UpstreamHeaders.KEY, key.value()));
    spec.idempotencyKey()
        .ifPresent(key -> request.header(UpstreamHeaders.IDEMPOTENCY_KEY, key.value()));
    spec.validator().ifPresent(validator -> resume(request, spec.resumeOffset(), validator));
    return request.build();
  }

  /** Returns the request that cancels an attempt at the upstream. */
  static Request cancellation(AttemptSpec spec) {
    return new Request.Builder()
        .url(
            HttpUrl.get(
                "http://"
                    + spec.address()
                    + "/.well-known/hornbeamwheel/requests/"
                    + spec.requestId()))
        .delete()
        .build();
  }

  private static void resume(Request.Builder request, long offset, String validator) {
    request.header(UpstreamHeaders.RANGE, "bytes=" + offset + "-");
    request.header(UpstreamHeaders.IF_RANGE, validator);
  }

  private static String sliceText(AttemptSpec spec) {
    return spec.slice().isolated()
        ? spec.slice().shard() + "." + Long.toHexString(spec.slice().keyHash())
        : Integer.toString(spec.slice().shard());
  }

  private static RequestBody body(AttemptSpec spec) {
    boolean needsBody = BODY_METHODS.contains(spec.method());
    if (spec.body().size() == 0 && !needsBody) {
      return null;
    }
    String type = spec.headers().get("Content-Type");
    return RequestBody.create(spec.body(), type == null ? null : MediaType.parse(type));
  }
}
