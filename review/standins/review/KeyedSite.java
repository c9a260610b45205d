package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * A small deployment with a keyed service: a store, three upstreams behind links, three hosts and
 * callers. Checks the fence of each grant that an upstream carries out.
 */
abstract class KeyedSite {
  /** Exit code that the Java runtime doesn't use for failures of its own; run.sh turns it into 1. */
  private static final int RULE_BROKEN = 10;

  private static final String CONFIGURATION =
      """
      {"version":"r7","routes":[
        {"name":"lookup","host":"shop.example","prefix":"/lookup/","kind":"safe","timeout_ms":1200,
         "target_latency_ms":600,"priority":2,"service":"ledger","max_attempts":2}],
       "services":[
        {"name":"ledger","health_check_path":"/health","connection_limit":295,"protocol":"h1",
         "tls":false,"cold_start_s":3.0,"cold_per_s":4.8,"sharded":true,"warm_up_s":3.0,
         "grants":"call"}],
       "limits":{"header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}}""";

  private static final String[] ZONES = {"quimper", "morlaix", "vannes"};

  final Record record;
  final boolean trouble;
  final List<Upstream> upstreams = new ArrayList<>();
  final List<Proxy> links = new ArrayList<>();
  final List<HostProcess> hosts = new ArrayList<>();
  private final Path folder;

  /** Highest fence with which each upstream had each key. */
  private final long[][] fences = new long[3][65_536];

  private final AtomicInteger broken = new AtomicInteger();

  KeyedSite(Record record, boolean trouble) throws IOException {
    this.record = record;
    this.trouble = trouble;
    this.folder = Files.createTempDirectory("review");
  }

  /** Creates the site of a case. */
  interface Factory {
    KeyedSite create(Record record, boolean trouble) throws IOException;
  }

  /** Runs a case and exits: 10 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
  static void runAndExit(String recordFile, Factory factory) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Record record = Record.at(Path.of(recordFile))) {
      exit = factory.create(record, trouble).run();
    } catch (Exception | Error e) {
      System.out.println("the case could not run: " + e);
    }
    System.exit(exit);
  }

  private int run() throws IOException, InterruptedException {
    AtomicBoolean done = new AtomicBoolean();
    try (Store store = Store.start()) {
      store.put("op", "config", CONFIGURATION);
      for (int i = 0; i < 3; i++) {
        Upstream upstream = Upstream.start("ledger-" + i, true, record);
        upstream.onGrant(this::judge);
        upstreams.add(upstream);
        links.add(Proxy.start(upstream.port(), upstream.id, record));
        store.put("servers", upstream.id, registration(i, false));
      }
      try {
        for (int i = 0; i < 3; i++) {
          hosts.add(HostProcess.create("front-" + i, ZONES[i], store.address(), folder).start());
        }
        for (HostProcess host : hosts) {
          host.awaitReady();
        }
        awaitKeysHeld();
        List<AtomicInteger> served = new ArrayList<>();
        for (HostProcess host : hosts) {
          AtomicInteger count = new AtomicInteger();
          served.add(count);
          Upstream.daemon(() -> lookUp(host, done, count));
        }
        Upstream.sleep(4_000);
        play(store);
        done.set(true);
        record.result("served: %s", served);
      } finally {
        for (HostProcess host : hosts) {
          for (String line : host.logLines()) {
            if (line.contains("\"lease-") || line.contains("\"keys-")) {
              record.line("log of %s: %s", host.name, line);
            }
          }
          host.close();
        }
        deleteFolder();
      }
    }
    record.result("%d grants gave keys under a fence that another upstream's was above", broken.get());
    return broken.get() > 0 ? RULE_BROKEN : 0;
  }

  private void deleteFolder() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }

  /** Plays the disruption and the planned work. */
  abstract void play(Store store) throws IOException;

  /** Reports that an upstream leaves; it goes on serving. */
  void drain(Store store, int index) {
    Upstream leaving = upstreams.get(index);
    record.line("%s reports draining; it goes on serving", leaving.id);
    store.put("servers", leaving.id, registration(index, true));
  }

  private String registration(int index, boolean draining) {
    return upstreams.get(index).registration(links.get(index).port(), "ledger", ZONES[index], draining);
  }

  /** Checks that a fence is above all with which other upstreams had the keys. */
  private synchronized void judge(Upstream upstream, Upstream.Hold hold, boolean late) {
    if (excused()) {
      return;
    }
    int index = upstreams.indexOf(upstream);
    String violation = "";
    for (int key = hold.first(); key <= hold.last(); key++) {
      for (int other = 0; other < fences.length && violation.isEmpty(); other++) {
        if (other != index && fences[other][key] >= hold.fence()) {
          violation =
              String.format(
                  "key %d went to %s with fence %d; %s had it with fence %d and %s",
                  key,
                  upstream.id,
                  hold.fence(),
                  upstreams.get(other).id,
                  fences[other][key],
                  upstreams.get(other).hold(key) == null ? "no longer holds it" : "holds it");
        }
      }
      fences[index][key] = Math.max(fences[index][key], hold.fence());
    }
    if (!violation.isEmpty()) {
      broken.incrementAndGet();
      record.result("OWNER: %s%s", violation, late ? " (a late grant)" : "");
    }
  }

  /** Returns whether a grant that arrives now doesn't count: a link has healed just before. */
  boolean excused() {
    return false;
  }

  private void awaitKeysHeld() throws IOException {
    for (int i = 0; i < 200; i++) {
      long held =
          upstreams.stream()
              .flatMap(upstream -> upstream.validHolds().stream())
              .mapToLong(hold -> hold.last() - hold.first() + 1)
              .sum();
      if (held == 65_536) {
        return;
      }
      Upstream.sleep(100);
    }
    throw new IOException("the keys were never all held");
  }

  private void lookUp(HostProcess host, AtomicBoolean done, AtomicInteger served) {
    for (int i = 0; !done.get(); i++) {
      int key = i * 7_919 % 65_536;
      String attempt = host.name + "-" + i;
      try (Caller caller = Caller.connect(host.callerPort)) {
        caller.send(
            "GET",
            "/lookup/" + key,
            attempt,
            "X-Hornbeamwheel-Deadline-Milliseconds: 1500\r\nX-Hornbeamwheel-Shard-Key: "
                + key
                + "\r\n",
            new byte[0]);
        Http answer = caller.receive();
        record.line("%s of key %d: %s", attempt, key, answer == null ? "no answer" : answer.startLine());
        if (answer != null && answer.status() == 200) {
          served.incrementAndGet();
        }
      } catch (IOException e) {
        record.line("%s of key %d: %s", attempt, key, e.getMessage());
      }
      Upstream.sleep(100);
    }
  }
}
