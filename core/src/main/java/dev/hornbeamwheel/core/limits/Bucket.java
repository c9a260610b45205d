package dev.hornbeamwheel.core.limits;

import dev.hornbeamwheel.core.config.Contract;
import java.util.Optional;

/** Token bucket and demand of one contract at one router. */
final class Bucket {
  /** Tokens are counted in millionths of a request. */
  private static final long REQUEST = 1_000_000;

  /** Demand is asked for with a quarter on top. */
  private static final int HEADROOM_PERCENT = 125;

  private Contract contract;
  private Share share = Share.NONE;
  private long tokens;
  private long refilledMillis;
  private int inFlight;

  private long offered;
  private int refusedForConcurrency;
  private int peakInFlight;
  private int concurrencyDemand;
  private boolean claimed;
  private long sampledMillis = Long.MIN_VALUE / 2;
  private long offeredMilliRate;
  private long offeredAtMillis = Long.MIN_VALUE / 2;

  Bucket(Contract contract) {
    this.contract = contract;
  }

  void contract(Contract newContract) {
    contract = newContract;
  }

  Contract contract() {
    return contract;
  }

  Share share() {
    return share;
  }

  Admission admit(long nowMillis) {
    offered++;
    offeredAtMillis = nowMillis;
    if (share.isNone()) {
      return Admission.NO_SHARE;
    }
    if (inFlight >= share.concurrency()) {
      refusedForConcurrency++;
      return Admission.CONCURRENCY_EXCEEDED;
    }
    refill(nowMillis);
    if (tokens < REQUEST) {
      return Admission.RATE_EXCEEDED;
    }
    tokens -= REQUEST;
    inFlight++;
    peakInFlight = Math.max(peakInFlight, inFlight);
    return Admission.ADMITTED;
  }

  void finished() {
    inFlight = Math.max(0, inFlight - 1);
  }

  long retryAfterMillis(long nowMillis) {
    if (share.isNone()) {
      return LimitsTiming.NO_SHARE_RETRY_MILLIS;
    }
    refill(nowMillis);
    long missing = REQUEST - tokens;
    return missing <= 0
        ? LimitsTiming.CONCURRENCY_RETRY_MILLIS
        : missing / Math.max(1, usedMilliRate()) + 1;
  }

  /** Changes the share; tokens are taken away with a smaller burst, never added. */
  void changeShare(Share newShare, long nowMillis) {
    refill(nowMillis);
    share = newShare;
    tokens = Math.min(tokens, share.burst() * REQUEST);
  }

  /** Returns what an arbiter must count for this router. */
  private Share held() {
    return new Share(share.milliRate(), share.burst(), Math.max(share.concurrency(), inFlight));
  }

  /** Returns the claim to send; empty if the arbiter knows already that there is none. */
  Optional<LimitsMessage.Claim> claim(long nowMillis) {
    LimitsMessage.Claim claim = new LimitsMessage.Claim(contract.id(), held(), wanted(nowMillis));
    boolean before = claimed;
    claimed = !claim.held().isNone() || !claim.wanted().isNone();
    return claimed || before ? Optional.of(claim) : Optional.empty();
  }

  private boolean idle(long nowMillis) {
    return nowMillis - offeredAtMillis >= LimitsTiming.IDLE_MILLIS;
  }

  /** Returns what would satisfy the callers, nothing if there have been none lately. */
  private Share wanted(long nowMillis) {
    sample(nowMillis);
    if (idle(nowMillis)) {
      return inFlight == 0 ? Share.NONE : new Share(0, 0, inFlight);
    }
    long milliRate = offeredMilliRate * HEADROOM_PERCENT / 100 + Share.MILLI;
    long burst = Math.max(1, contract.burst() * milliRate / (contract.ratePerSecond() * 1000));
    int concurrency = Math.max(concurrencyDemand, inFlight) * HEADROOM_PERCENT / 100 + 1;
    return new Share(milliRate, burst, concurrency)
        .min(Share.of(contract.ratePerSecond(), contract.burst(), contract.concurrency()));
  }

  private void sample(long nowMillis) {
    long elapsed = nowMillis - sampledMillis;
    if (elapsed < LimitsTiming.SAMPLE_MILLIS) {
      return;
    }
    boolean first = elapsed > LimitsTiming.IDLE_MILLIS;
    long span = first ? LimitsTiming.SAMPLE_MILLIS : elapsed;
    long measured = offered * 1000 * Share.MILLI / span;
    offeredMilliRate = first ? measured : Math.max(measured, (offeredMilliRate + measured) / 2);
    int needed = Math.min(contract.concurrency(), peakInFlight + refusedForConcurrency);
    concurrencyDemand = first ? needed : Math.max(needed, (concurrencyDemand + needed) / 2);
    offered = 0;
    refusedForConcurrency = 0;
    peakInFlight = inFlight;
    sampledMillis = nowMillis;
  }

  private void refill(long nowMillis) {
    long elapsed = nowMillis - refilledMillis;
    if (elapsed > 0) {
      long limit = share.burst() * REQUEST;
      tokens =
          elapsed >= LimitsTiming.LEASE_MILLIS
              ? Math.min(limit, tokens + usedMilliRate() * LimitsTiming.LEASE_MILLIS)
              : Math.min(limit, tokens + usedMilliRate() * elapsed);
      refilledMillis = nowMillis;
    }
  }

  private long usedMilliRate() {
    return share.milliRate() * LimitsTiming.USED_RATE_MILLI / 1000;
  }
}
