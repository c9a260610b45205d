package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RequestId;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;

/** Sends outcomes of claimed requests to the voters and resends them until acknowledged. */
public final class OutcomeNotifier {
  /** Time after which an unacknowledged outcome is sent again. */
  private static final long RESEND_INTERVAL_MILLIS = 200;

  /** Number of sends after which an unacknowledged outcome is dropped. */
  private static final int MAX_SENDS = 10;

  private static final class Pending {
    private final ClaimMessage.RecordOutcome message;
    private final Set<MemberId> voters;
    private long lastSentAtMillis;
    private int sends;

    private Pending(ClaimMessage.RecordOutcome message, Collection<MemberId> voters) {
      this.message = message;
      this.voters = new TreeSet<>(voters);
    }
  }

  private final Map<RequestId, Pending> pending = new LinkedHashMap<>();
  private final BiConsumer<MemberId, ClaimMessage> sender;

  private OutcomeNotifier(BiConsumer<MemberId, ClaimMessage> sender) {
    this.sender = sender;
  }

  /** Returns a notifier without pending outcomes that sends its messages to {@code sender}. */
  public static OutcomeNotifier create(BiConsumer<MemberId, ClaimMessage> sender) {
    return new OutcomeNotifier(sender);
  }

  /** Sends the outcome of a request to its voters; replaces a pending outcome of that request. */
  public void add(long nowMillis, ClaimMessage.RecordOutcome message, Collection<MemberId> voters) {
    Pending added = new Pending(message, voters);
    pending.put(message.requestId(), added);
    send(added, nowMillis);
  }

  /** Records a voter's acknowledgement. */
  public void acknowledge(MemberId from, RequestId requestId) {
    Pending outcome = pending.get(requestId);
    if (outcome != null && outcome.voters.remove(from) && outcome.voters.isEmpty()) {
      pending.remove(requestId);
    }
  }

  /** Resends the outcomes that were not acknowledged in time. */
  public void tick(long nowMillis) {
    pending.values().removeIf(p -> p.sends >= MAX_SENDS);
    pending.values().stream()
        .filter(p -> nowMillis - p.lastSentAtMillis >= RESEND_INTERVAL_MILLIS)
        .forEach(p -> send(p, nowMillis));
  }

  /** Returns whether every outcome was acknowledged or dropped. */
  public boolean isEmpty() {
    return pending.isEmpty();
  }

  private void send(Pending outcome, long nowMillis) {
    outcome.lastSentAtMillis = nowMillis;
    outcome.sends++;
    outcome.voters.forEach(voter -> sender.accept(voter, outcome.message));
  }
}
