package dev.hornbeamwheel.examples;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.ByteString;

/**
 * A caller of one router with one contract.
 *
 * <pre>{@code
 * Caller caller = Caller.of("http://127.0.0.1:8080", token);
 * Answer answer = caller.lookup("stock-ledger", "mill-quimperle", "/parts/roll-bar-40");
 * }</pre>
 */
public final class Caller {
  /** Time after which the caller gives up, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 10_000;

  private static final MediaType JSON = MediaType.get("application/json");

  private final OkHttpClient client;
  private final HttpUrl base;
  private final String token;

  private Caller(OkHttpClient client, HttpUrl base, String token) {
    this.client = client;
    this.base = base;
    this.token = token;
  }

  /**
   * Returns a caller.
   *
   * @param base URL of an entry host
   * @param token token of the contract
   */
  public static Caller of(String base, String token) {
    OkHttpClient client =
        new OkHttpClient.Builder().callTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).build();
    return new Caller(client, HttpUrl.get(base), token);
  }

  /**
   * Looks something up under a key; the router may run it more than once.
   *
   * @throws IOException if the router cannot be reached or the answer breaks off
   */
  public Answer lookup(String service, String key, String path) throws IOException {
    return send(request(service, path).header("Hbw-Key", key).get().build());
  }

  /**
   * Sends an order that must not run twice.
   *
   * @param idempotencyKey fresh for each new order, the same for each repeat of it
   * @throws IOException if the router cannot be reached or the answer breaks off
   */
  public Answer order(String service, String path, String idempotencyKey, String json)
      throws IOException {
    return send(
        request(service, path)
            .header("Idempotency-Key", idempotencyKey)
            .post(RequestBody.create(json, JSON))
            .build());
  }

  /**
   * Downloads something large.
   *
   * @throws IOException if the router cannot be reached or the answer breaks off
   */
  public Answer download(String service, String path) throws IOException {
    return send(request(service, path).get().build());
  }

  private Request.Builder request(String service, String path) {
    return new Request.Builder()
        .url(base.resolve("/" + service + path))
        .header("Authorization", "Bearer " + token);
  }

  private Answer send(Request request) throws IOException {
    try (Response response = client.newCall(request).execute()) {
      ByteString body = response.body().byteString();
      return new Answer(response.code(), response.header("Hbw-Outcome", "none"), body);
    }
  }

  /**
   * A whole answer.
   *
   * @param status HTTP status
   * @param outcome {@code completed}, {@code not-run} or {@code unknown}
   * @param body the body
   */
  public record Answer(int status, String outcome, ByteString body) {}
}
