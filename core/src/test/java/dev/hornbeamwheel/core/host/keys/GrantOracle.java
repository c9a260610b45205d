package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Records every grant and checks that none is sent while another upstream may still hold its keys.
 *
 * <p>A grant may be valid until its hold time has passed on a slow clock since the end of its call.
 * The answer to a release ends those answered grants whose calls had ended when the release was
 * sent. An unanswered grant may be carried out after any release, so only time ends it.
 */
final class GrantOracle {
  /** Time for which a grant may still be in transit after its call was reset, in milliseconds. */
  private static final long TRANSIT_MILLIS = 100;

  /** Factor by which the slow clock of an upstream lengthens each hold time. */
  private static final double SLOW_CLOCK_FACTOR = 1.02;

  private static final long UNKNOWN = Long.MAX_VALUE;

  /** A grant whose call was sent. */
  static final class SentGrant {
    private final KeyEffect.Grant order;
    private final long sentMillis;

    /** Keys that the upstream has given back since; only an answered grant has any. */
    private final List<KeyRange> released = new ArrayList<>();

    /** The process that may have received the grant; empty until its call has ended. */
    private Optional<FakeUpstream> receiver = Optional.empty();

    private boolean answered;
    private long latestArrivalMillis = UNKNOWN;

    private SentGrant(long sentMillis, KeyEffect.Grant order) {
      this.sentMillis = sentMillis;
      this.order = order;
    }

    private long latestExpiryMillis() {
      return latestArrivalMillis == UNKNOWN
          ? UNKNOWN
          : latestArrivalMillis + (long) (order.holdMillis() * SLOW_CLOCK_FACTOR);
    }

    private String describe() {
      return "%s %s fencing token %d, sent at %d, expires by %s, answered: %s"
          .formatted(
              order.upstream(),
              order.range(),
              order.fencingToken(),
              sentMillis,
              latestArrivalMillis == UNKNOWN ? "?" : latestExpiryMillis(),
              answered);
    }
  }

  /** A release whose call was sent, with the grants that it ends if it is answered. */
  record SentRelease(KeyRange range, List<SentGrant> endedGrants) {}

  private record TokenUse(KeyRange range, UpstreamId upstream, long fencingToken) {}

  private final Function<KeyEffect.Grant, Optional<FakeUpstream>> receiver;
  private final List<SentGrant> grants = new ArrayList<>();
  private final List<TokenUse> tokenUses = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();

  /**
   * Creates an oracle.
   *
   * @param receiver returns the running process that accepts a grant which arrives now
   */
  GrantOracle(Function<KeyEffect.Grant, Optional<FakeUpstream>> receiver) {
    this.receiver = receiver;
  }

  /** Returns a description of each grant that was sent too early or with a used token. */
  List<String> violations() {
    return violations;
  }

  /** Checks and records a grant. */
  SentGrant grantSent(long nowMillis, KeyEffect.Grant order) {
    grants.removeIf(grant -> nowMillis > grant.latestExpiryMillis());
    grants.stream()
        .filter(grant -> mayConflict(grant, order))
        .forEach(
            grant ->
                violations.add(
                    "at %d: granted %s to %s, fencing token %d, held by %s"
                        .formatted(
                            nowMillis,
                            order.range(),
                            order.upstream(),
                            order.fencingToken(),
                            grant.describe())));
    checkToken(nowMillis, order);
    SentGrant sent = new SentGrant(nowMillis, order);
    grants.add(sent);
    return sent;
  }

  private boolean mayConflict(SentGrant grant, KeyEffect.Grant order) {
    Optional<FakeUpstream> process =
        grant.latestArrivalMillis == UNKNOWN ? receiver.apply(grant.order) : grant.receiver;
    return !grant.order.upstream().equals(order.upstream())
        && process.filter(upstream -> upstream.up).isPresent()
        && overlap(grant.order.range(), order.range())
            .filter(range -> !covered(range, grant.released))
            .isPresent();
  }

  private void checkToken(long nowMillis, KeyEffect.Grant order) {
    TokenUse use = new TokenUse(order.range(), order.upstream(), order.fencingToken());
    if (tokenUses.contains(use)) {
      return;
    }
    tokenUses.stream()
        .filter(other -> !other.upstream().equals(order.upstream()))
        .filter(other -> overlap(other.range(), order.range()).isPresent())
        .filter(other -> other.fencingToken() >= order.fencingToken())
        .forEach(other -> violations.add("at %d: %s after %s".formatted(nowMillis, use, other)));
    tokenUses.add(use);
  }

  /** Records that the call of a grant has ended. */
  void grantEnded(long nowMillis, SentGrant grant, OrderResult result) {
    if (result instanceof OrderResult.Done) {
      grant.answered = true;
      grant.latestArrivalMillis = nowMillis;
      grant.receiver = receiver.apply(grant.order);
    } else if (result instanceof OrderResult.Unanswered) {
      grant.latestArrivalMillis = nowMillis + TRANSIT_MILLIS;
      grant.receiver = receiver.apply(grant.order);
    } else {
      grants.remove(grant);
    }
  }

  /** Records a release. */
  SentRelease releaseSent(long nowMillis, KeyEffect.Release order) {
    return new SentRelease(
        order.range(),
        grants.stream()
            .filter(grant -> grant.order.upstream().equals(order.upstream()))
            .filter(grant -> grant.answered && grant.latestArrivalMillis <= nowMillis)
            .toList());
  }

  /** Records that an upstream has carried out a release. */
  void releaseAnswered(SentRelease release) {
    release.endedGrants().forEach(grant -> grant.released.add(release.range()));
  }

  private static Optional<KeyRange> overlap(KeyRange a, KeyRange b) {
    int first = Math.max(a.first(), b.first());
    int last = Math.min(a.last(), b.last());
    return first <= last ? Optional.of(new KeyRange(first, last)) : Optional.empty();
  }

  private static boolean covered(KeyRange range, List<KeyRange> covers) {
    int next = range.first();
    List<KeyRange> sorted =
        covers.stream().sorted((a, b) -> Integer.compare(a.first(), b.first())).toList();
    for (KeyRange cover : sorted) {
      if (cover.first() <= next) {
        next = Math.max(next, cover.last() + 1);
      }
    }
    return next > range.last();
  }
}
