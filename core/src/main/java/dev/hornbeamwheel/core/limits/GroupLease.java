package dev.hornbeamwheel.core.limits;

import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** The lease of one router on its shares of the contracts of one group. */
final class GroupLease {
  private final int group;
  private final LapseRule lapseRule;
  private final List<Bucket> buckets = new ArrayList<>();
  private final Deque<Sent> outstanding = new ArrayDeque<>();
  private Optional<MemberId> arbiter = Optional.empty();
  private long sequence;
  private long applied;
  private long expiresMillis = Long.MIN_VALUE;
  private long nextRequestMillis = Long.MIN_VALUE;
  private long sentMillis = Long.MIN_VALUE / 2;
  private long urgentMillis = LimitsTiming.URGENT_MILLIS;
  private boolean urgent;

  GroupLease(int group, LapseRule lapseRule) {
    this.group = group;
    this.lapseRule = lapseRule;
  }

  void add(Bucket bucket) {
    buckets.add(bucket);
  }

  void remove(Bucket bucket) {
    buckets.remove(bucket);
  }

  void arbiter(Optional<MemberId> newArbiter) {
    if (!arbiter.equals(newArbiter)) {
      arbiter = newArbiter;
      urgent = true;
    }
  }

  /** Asks for shares soon, because a caller met none. */
  void hasten() {
    urgent = true;
  }

  /** Gives up all shares if the lease has lapsed, and all answers that are still on their way. */
  void checkLapse(long nowMillis) {
    if (!lapseRule.lapsed(expiresMillis, nowMillis)) {
      return;
    }
    expiresMillis = Long.MIN_VALUE;
    applied = sequence;
    outstanding.clear();
    buckets.forEach(bucket -> bucket.changeShare(Share.NONE, nowMillis));
    urgent = true;
  }

  Optional<LimitsEffect> requestIfDue(Incarnation incarnation, long nowMillis) {
    boolean due = urgent ? nowMillis - sentMillis >= urgentMillis : nowMillis >= nextRequestMillis;
    if (!due || arbiter.isEmpty()) {
      return Optional.empty();
    }
    List<LimitsMessage.Claim> claims =
        buckets.stream().flatMap(bucket -> bucket.claim(nowMillis).stream()).toList();
    urgent = false;
    nextRequestMillis = nowMillis + LimitsTiming.RENEW_MILLIS;
    if (claims.isEmpty()) {
      return Optional.empty();
    }
    sentMillis = nowMillis;
    sequence++;
    outstanding.removeIf(sent -> nowMillis - sent.atMillis >= LimitsTiming.LEASE_MILLIS);
    outstanding.addLast(new Sent(sequence, nowMillis));
    LimitsMessage.Request request =
        new LimitsMessage.Request(group, incarnation, sequence, applied, claims);
    return Optional.of(new LimitsEffect.Send(arbiter.get(), request));
  }

  void apply(LimitsMessage.Grant grant, long nowMillis) {
    Optional<Sent> sent =
        outstanding.stream().filter(each -> each.sequence == grant.sequence()).findFirst();
    if (sent.isEmpty()) {
      return;
    }
    outstanding.removeIf(each -> each.sequence <= grant.sequence());
    applied = grant.sequence();
    urgentMillis =
        grant.grants().isEmpty() ? LimitsTiming.REFUSED_MILLIS : LimitsTiming.URGENT_MILLIS;
    expiresMillis = sent.get().atMillis + grant.leaseMillis();
    buckets.forEach(bucket -> bucket.changeShare(granted(grant, bucket), nowMillis));
    checkLapse(nowMillis);
  }

  private static Share granted(LimitsMessage.Grant grant, Bucket bucket) {
    return grant.grants().stream()
        .filter(granted -> granted.contract().equals(bucket.contract().id()))
        .map(LimitsMessage.Granted::share)
        .findFirst()
        .orElse(Share.NONE);
  }

  private record Sent(long sequence, long atMillis) {}
}
