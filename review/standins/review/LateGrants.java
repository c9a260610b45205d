package review;

import java.io.IOException;

/**
 * A grant that the coordinator of an earlier term sent is carried out after its keys have moved.
 *
 * <p>The store is down for three seconds; meanwhile one upstream leaves a grant unanswered and
 * carries it out six seconds later. After the store's return that upstream leaves, as planned.
 */
final class LateGrants extends KeyedSite {
  private static final long STORE_DOWN_MILLIS = 3_000;
  private static final long CARRIED_OUT_AFTER_MILLIS = 6_000;
  private static final long LONG_HOLD_NANOS = 9_000_000_000L;

  private LateGrants(Record record, boolean trouble) throws IOException {
    super(record, trouble);
  }

  public static void main(String[] args) throws Exception {
    runAndExit(args[0], LateGrants::new);
  }

  @Override
  void play(Store store) {
    Upstream leaving = upstreams.get(0);
    if (trouble) {
      long downNanos = System.nanoTime();
      record.line("the store answers 503 to all");
      store.refuse(true);
      // The coordinator renews with its longest hold then: one such grant a range, of which one
      // upstream leaves its own unanswered, far less than three in ten of all orders.
      leaving.leaveUnanswered(
          hold -> storeIsAway(downNanos) && hold.untilNanos() - System.nanoTime() > LONG_HOLD_NANOS,
          CARRIED_OUT_AFTER_MILLIS);
      Upstream.sleep(STORE_DOWN_MILLIS);
      store.refuse(false);
      record.line("the store serves again");
    }
    Upstream.sleep(2_000);
    drain(store, 0);
    Upstream.sleep(8_000);
  }

  private static boolean storeIsAway(long sinceNanos) {
    return System.nanoTime() - sinceNanos < STORE_DOWN_MILLIS * 1_000_000;
  }
}
