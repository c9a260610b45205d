package dev.hornbeamwheel.router.upstream;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.EventListener;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;

/**
 * Sends attempts over HTTP.
 *
 * <p>Each attempt is sent at most once: the client's own retries and redirects are off.
 */
public final class OkHttpUpstreamClient implements UpstreamClient {
  /** Time to open a connection, in milliseconds. */
  private static final long CONNECT_TIMEOUT_MILLIS = 500;

  /** Idle connections kept, over all upstreams. */
  private static final int MAX_IDLE_CONNECTIONS = 512;

  /** Time that an idle connection is kept, in seconds. */
  private static final long KEEP_ALIVE_SECONDS = 30;

  private final OkHttpClient client;

  private OkHttpUpstreamClient(OkHttpClient client) {
    this.client = client;
  }

  /**
   * Returns a client that runs its attempts on an executor.
   *
   * @param executor runs one thread for each attempt in flight
   * @param maxInFlight attempts in flight at once, over all upstreams
   */
  public static OkHttpUpstreamClient create(ExecutorService executor, int maxInFlight) {
    Dispatcher dispatcher = new Dispatcher(executor);
    dispatcher.setMaxRequests(maxInFlight);
    dispatcher.setMaxRequestsPerHost(maxInFlight);
    return new OkHttpUpstreamClient(
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .connectionPool(
                new ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
            .protocols(java.util.List.of(Protocol.HTTP_1_1))
            .connectTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .readTimeout(0, TimeUnit.MILLISECONDS)
            .writeTimeout(0, TimeUnit.MILLISECONDS)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .eventListenerFactory(OkHttpUpstreamClient::listenerOf)
            .build());
  }

  @Override
  public RunningAttempt start(AttemptSpec spec, AttemptListener listener) {
    SendProgress progress = new SendProgress();
    Request request =
        AttemptRequests.of(spec).newBuilder().tag(SendProgress.class, progress).build();
    Call call = client.newCall(request);
    call.timeout().timeout(Math.max(1, spec.timeoutMillis()), TimeUnit.MILLISECONDS);
    call.enqueue(OkHttpAttempt.of(spec, listener, progress));
    return () -> cancel(call, spec);
  }

  /** Ends the call here and asks the upstream to end it there; the latter may fail. */
  private void cancel(Call call, AttemptSpec spec) {
    call.cancel();
    client.newCall(AttemptRequests.cancellation(spec)).enqueue(IgnoredAnswer.INSTANCE);
  }

  private static EventListener listenerOf(Call call) {
    SendProgress progress = call.request().tag(SendProgress.class);
    return progress == null ? EventListener.NONE : progress;
  }
}
