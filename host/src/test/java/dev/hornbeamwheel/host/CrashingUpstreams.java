package dev.hornbeamwheel.host;

import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin;
import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin.Ending;
import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin.Reply;
import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin.Request;
import dev.hornbeamwheel.standins.site.StoreStandin;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Upstreams of one service whose processes end when they begin to run a certain request. Each is
 * replaced by a new one, under another id, once its registration has expired.
 */
final class CrashingUpstreams implements AutoCloseable {
  /** Part of the path of the requests that crash an upstream. */
  static final String CRASHING = "crash";

  /** Body of their answers. */
  static final String BODY = "found";

  /** Time from a crash until the replacement is registered and the entry has expired. */
  private static final long REPLACED_AFTER_MILLIS = 600;

  private final StoreStandin store;
  private final String service;
  private final AtomicInteger crashes = new AtomicInteger();
  private final AtomicInteger started = new AtomicInteger();
  private final List<ScriptedUpstreamStandin> running = new CopyOnWriteArrayList<>();
  private final List<Thread> replacing = new CopyOnWriteArrayList<>();
  private volatile boolean closed;

  CrashingUpstreams(StoreStandin store, String service, int count) throws IOException {
    this.store = store;
    this.service = service;
    for (int i = 0; i < count; i++) {
      startOne();
    }
  }

  /** Returns how many upstreams have crashed. */
  int crashes() {
    return crashes.get();
  }

  private void startOne() throws IOException {
    String id = "i-" + service + "-crashing-" + started.incrementAndGet();
    ScriptedUpstreamStandin[] self = new ScriptedUpstreamStandin[1];
    self[0] = ScriptedUpstreamStandin.start(request -> reply(id, self[0], request));
    running.add(self[0]);
    store.put("servers", id, self[0].registration(service, "quimper"));
  }

  private Reply reply(String id, ScriptedUpstreamStandin self, Request request) {
    if (request.path().startsWith("/hornbeamwheel/")) {
      return Reply.keep(request.echo(200, ""));
    }
    if (request.path().contains(CRASHING)) {
      crash(id, self);
      return new Reply("", Ending.RESET);
    }
    return Reply.keep(request.echo(200, BODY, ScriptedUpstreamStandin.SIGNATURE));
  }

  private synchronized void crash(String id, ScriptedUpstreamStandin self) {
    if (closed || !running.remove(self)) {
      return;
    }
    crashes.incrementAndGet();
    try {
      self.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    Thread replacement = new Thread(() -> replace(id), "replacement");
    replacement.setDaemon(true);
    replacing.add(replacement);
    replacement.start();
  }

  private void replace(String id) {
    try {
      Thread.sleep(REPLACED_AFTER_MILLIS);
      store.remove("servers", id);
      startOne();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() throws IOException {
    synchronized (this) {
      closed = true;
    }
    replacing.forEach(Thread::interrupt);
    for (ScriptedUpstreamStandin upstream : running) {
      upstream.close();
    }
  }
}
