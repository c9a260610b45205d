package dev.hornbeamwheel.core.host.keys;

import java.util.Optional;

/** A grant whose answer may be missing, anonymous, or a second copy of an earlier one. */
final class FuzzedGrant implements FuzzedOrder {
  private final KeyedServiceFuzz fuzz;
  private final KeyEffect.Grant grant;
  private final GrantOracle.SentGrant sent;

  FuzzedGrant(KeyedServiceFuzz fuzz, KeyEffect.Grant grant, GrantOracle.SentGrant sent) {
    this.fuzz = fuzz;
    this.grant = grant;
    this.sent = sent;
  }

  @Override
  public void arrived() {
    fuzz.oracle.grantArrived(fuzz.nowMillis, sent);
  }

  @Override
  public boolean needsConnection() {
    return grant.verified();
  }

  @Override
  public void notReached() {
    fuzz.oracle.notReached(grant);
  }

  @Override
  public Optional<OrderResult> execute(FakeUpstream upstream) {
    if (!grant.verified() && fuzz.repeatedAnswers.contains(grant.upstream())) {
      return repeatedAnswer();
    }
    OrderResult result = upstream.grant(fuzz.nowMillis, fuzz.nowMillis, grant);
    if (fuzz.unansweredGrants.contains(grant.upstream())) {
      return Optional.empty();
    }
    boolean anonymous = !grant.verified() && fuzz.random.nextDouble() < fuzz.anonymousAnswerRate;
    return result instanceof OrderResult.Done && anonymous ? repeatedAnswer() : Optional.of(result);
  }

  @Override
  public Optional<OrderResult> repeatedAnswer() {
    return grant.verified()
        ? Optional.empty()
        : Optional.of(new OrderResult.Done(Optional.empty(), false));
  }
}
