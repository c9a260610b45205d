package review;

import java.io.IOException;

/**
 * A grant is held up by a cut while its sender, the coordinator, is killed; it arrives after the
 * link has healed, when its keys have moved.
 *
 * <p>The coordinator is cut off from one upstream for five and a half seconds and killed meanwhile.
 * That upstream, which the other hosts reach, leaves as planned before the link heals.
 */
final class HeldUpGrants extends KeyedSite {
  /**
   * Time from the sending of a grant to the kill. A grant without an answer is in flight for 700 ms,
   * and the next one follows soon, so that most kills during a cut come while one is in flight.
   */
  private static final long KILL_AFTER_MILLIS = 300;

  private static final long DRAIN_AFTER_MILLIS = 3_800;
  private static final long CUT_MILLIS = 5_500;

  /** Time from the healing to the next transmission of what is held up. */
  private static final long ARRIVES_AFTER_MILLIS = 800;

  /** Grants that arrive within this time after a link has healed don't count. */
  private static final long THAW_SLACK_MILLIS = 300;

  private volatile long healedNanos = Long.MAX_VALUE;

  private HeldUpGrants(Record record, boolean trouble) throws IOException {
    super(record, trouble);
  }

  public static void main(String[] args) throws Exception {
    runAndExit(args[0], HeldUpGrants::new);
  }

  @Override
  void play(Store store) throws IOException {
    if (trouble) {
      HostProcess coordinator = coordinator();
      record.line("the link from %s to %s is cut", coordinator.name, upstreams.get(0).id);
      long cutNanos = System.nanoTime();
      links.get(0).cut();
      links.get(0).awaitHeldUp();
      Upstream.sleep(KILL_AFTER_MILLIS);
      record.line("%s, the coordinator, is killed", coordinator.name);
      coordinator.kill();
      links.get(0).senderEnded();
      sleepUntil(cutNanos, DRAIN_AFTER_MILLIS);
      drain(store, 0);
      sleepUntil(cutNanos, CUT_MILLIS);
      healedNanos = System.nanoTime();
      record.line("the link heals");
      links.get(0).heal(ARRIVES_AFTER_MILLIS);
      Upstream.sleep(4_000);
    } else {
      Upstream.sleep(DRAIN_AFTER_MILLIS);
      drain(store, 0);
      Upstream.sleep(6_000);
    }
  }

  private static void sleepUntil(long sinceNanos, long millis) {
    Upstream.sleep(Math.max(0, millis - (System.nanoTime() - sinceNanos) / 1_000_000));
  }

  @Override
  boolean excused() {
    long sinceMillis = (System.nanoTime() - healedNanos) / 1_000_000;
    return healedNanos != Long.MAX_VALUE && sinceMillis < THAW_SLACK_MILLIS;
  }

  private HostProcess coordinator() throws IOException {
    for (HostProcess host : hosts) {
      if (host.logLines().stream().anyMatch(line -> line.contains("\"lease-won\""))) {
        return host;
      }
    }
    throw new IOException("no host has won the lease");
  }
}
