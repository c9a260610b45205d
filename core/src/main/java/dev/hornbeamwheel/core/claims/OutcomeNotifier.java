package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RequestId;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;

/** Tells voters how claimed requests ended, again and again until they acknowledge it. */
public final class OutcomeNotifier {
  /** Time between two sendings of the same settlement. */
  private static final long RESEND_INTERVAL_MILLIS = 200;

  /** Sendings after which a voter is given up. */
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

  /** Returns an empty set of settlements whose messages go to {@code sender}. */
  public static OutcomeNotifier create(BiConsumer<MemberId, ClaimMessage> sender) {
    return new OutcomeNotifier(sender);
  }

  /** Starts telling the voters how a request ended; replaces an earlier settlement of it. */
  public void add(long nowMillis, ClaimMessage.RecordOutcome message, Collection<MemberId> voters) {
    Pending added = new Pending(message, voters);
    pending.put(message.requestId(), added);
    send(added, nowMillis);
  }

  /** Takes an acknowledgement in. */
  public void acknowledge(MemberId from, RequestId requestId) {
    Pending settled = pending.get(requestId);
    if (settled != null && settled.voters.remove(from) && settled.voters.isEmpty()) {
      pending.remove(requestId);
    }
  }

  /** Sends again what was not acknowledged in time. */
  public void tick(long nowMillis) {
    pending.values().removeIf(p -> p.sends >= MAX_SENDS);
    pending.values().stream()
        .filter(p -> nowMillis - p.lastSentAtMillis >= RESEND_INTERVAL_MILLIS)
        .forEach(p -> send(p, nowMillis));
  }

  /** Returns whether every settlement was acknowledged or given up. */
  public boolean isEmpty() {
    return pending.isEmpty();
  }

  private void send(Pending settlement, long nowMillis) {
    settlement.lastSentAtMillis = nowMillis;
    settlement.sends++;
    settlement.voters.forEach(voter -> sender.accept(voter, settlement.message));
  }
}
