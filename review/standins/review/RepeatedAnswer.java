package review;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * An upstream sends the answer to a grant once more, late, where the answer to the next one is
 * expected. That next grant is left unanswered and carried out late, after its keys have moved.
 */
final class RepeatedAnswer extends KeyedSite {
  private static final long CARRIED_OUT_AFTER_MILLIS = 2_500;
  private static final long DRAIN_AFTER_MILLIS = 500;

  private RepeatedAnswer(Record record, boolean trouble) throws IOException {
    super(record, trouble);
  }

  public static void main(String[] args) throws Exception {
    runAndExit(args[0], RepeatedAnswer::new);
  }

  @Override
  void play(Store store) {
    Upstream leaving = upstreams.get(0);
    AtomicBoolean done = new AtomicBoolean();
    if (trouble) {
      leaving.repeatAnswers();
      leaving.leaveUnanswered(hold -> done.compareAndSet(false, true), CARRIED_OUT_AFTER_MILLIS);
      while (!done.get()) {
        Upstream.sleep(10);
      }
    }
    Upstream.sleep(DRAIN_AFTER_MILLIS);
    drain(store, 0);
    Upstream.sleep(6_000);
  }
}
