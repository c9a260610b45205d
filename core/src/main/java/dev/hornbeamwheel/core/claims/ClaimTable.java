package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.claims.ClaimMessage.Verdict;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.IdempotencyKey;
import dev.hornbeamwheel.core.model.RequestId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The claims that one voter has stored for one cell, in insertion order. */
final class ClaimTable {
  private record ClaimId(ContractId contract, IdempotencyKey key) {}

  private final Map<ClaimId, Entry> entries = new LinkedHashMap<>();

  private static final class Entry {
    private final long fingerprint;
    private final long recordedAtMillis;
    private RequestId holder;
    private int round;
    private ClaimState state;
    private int status;

    private Entry(long fingerprint, RequestId holder, int round, long sinceMillis) {
      this.fingerprint = fingerprint;
      this.holder = holder;
      this.round = round;
      this.recordedAtMillis = sinceMillis;
      this.state = ClaimState.RUNNING;
    }
  }

  int size() {
    return entries.size();
  }

  /** Records a claim if its key is free or held by the same request; returns the verdict. */
  Verdict claim(ClaimMessage.Claim claim, long nowMillis) {
    ClaimId id = new ClaimId(claim.contract(), claim.key());
    Entry entry = entries.get(id);
    if (entry == null) {
      put(id, new Entry(claim.fingerprint(), claim.requestId(), claim.round(), nowMillis));
      return Verdict.RECORDED;
    }
    if (entry.fingerprint != claim.fingerprint()) {
      return Verdict.MISMATCH;
    }
    boolean sameRequest = entry.holder.equals(claim.requestId());
    if (entry.state == ClaimState.WITHDRAWN) {
      return reclaim(id, entry, claim, sameRequest, nowMillis);
    }
    if (sameRequest && entry.state == ClaimState.RUNNING) {
      entry.round = Math.max(entry.round, claim.round());
      return Verdict.RECORDED;
    }
    return verdictOf(entry.state);
  }

  /** Returns the response status stored with a key; zero if there is none. */
  int statusOf(ContractId contract, IdempotencyKey key) {
    Entry entry = entries.get(new ClaimId(contract, key));
    return entry == null ? 0 : entry.status;
  }

  /** Records how a claimed request ended; ignored if the request does not hold the key. */
  void recordOutcome(ClaimMessage.RecordOutcome outcome) {
    Entry entry = entries.get(new ClaimId(outcome.contract(), outcome.key()));
    boolean holdsKey = entry != null && entry.holder.equals(outcome.requestId());
    if (!holdsKey || entry.state != ClaimState.RUNNING || outcome.round() < entry.round) {
      return;
    }
    entry.state = outcome.state();
    entry.status = outcome.status();
  }

  /**
   * Merges the claims of another voter.
   *
   * <p>Of two records of one key, the one with the higher {@link #precedence} is kept, except that
   * a withdrawal replaces a running claim of the same request. If two different requests may be
   * running, the state becomes UNKNOWN.
   */
  void merge(List<ClaimRecord> records, long nowMillis) {
    records.forEach(record -> merge(record, nowMillis));
  }

  private void merge(ClaimRecord record, long nowMillis) {
    ClaimId id = new ClaimId(record.contract(), record.key());
    Entry existing = entries.get(id);
    if (existing != null
        && !existing.holder.equals(record.holder())
        && bothRunning(existing, record)) {
      existing.state = ClaimState.UNKNOWN;
      return;
    }
    if (existing != null && !overrides(record, existing)) {
      return;
    }
    Entry entry =
        new Entry(
            record.fingerprint(), record.holder(), record.round(), nowMillis - record.ageMillis());
    entry.state = record.state();
    entry.status = record.status();
    put(id, entry);
  }

  List<ClaimRecord> records(long nowMillis) {
    return entries.entrySet().stream()
        .map(e -> recordOf(e.getKey(), e.getValue(), nowMillis))
        .toList();
  }

  /** Removes the claims that were recorded before a time. */
  void removeBefore(long millis) {
    entries.values().removeIf(entry -> entry.recordedAtMillis < millis);
  }

  private static boolean bothRunning(Entry existing, ClaimRecord record) {
    return existing.state == ClaimState.RUNNING && record.state() == ClaimState.RUNNING;
  }

  private static boolean overrides(ClaimRecord record, Entry existing) {
    boolean withdrawn =
        record.state() == ClaimState.WITHDRAWN
            && existing.state == ClaimState.RUNNING
            && record.holder().equals(existing.holder)
            && record.round() >= existing.round;
    return withdrawn || precedence(record.state()) > precedence(existing.state);
  }

  /** Records a claim on a withdrawn key, unless it is a late duplicate of the withdrawn claim. */
  private Verdict reclaim(
      ClaimId id, Entry entry, ClaimMessage.Claim claim, boolean sameRequest, long nowMillis) {
    if (sameRequest && claim.round() <= entry.round) {
      return Verdict.RUNNING;
    }
    put(id, new Entry(claim.fingerprint(), claim.requestId(), claim.round(), nowMillis));
    return Verdict.RECORDED;
  }

  private void put(ClaimId id, Entry entry) {
    entries.remove(id);
    entries.put(id, entry);
  }

  private static ClaimRecord recordOf(ClaimId id, Entry entry, long nowMillis) {
    return new ClaimRecord(
        id.contract(),
        id.key(),
        entry.fingerprint,
        entry.holder,
        entry.round,
        entry.state,
        entry.status,
        nowMillis - entry.recordedAtMillis);
  }

  private static Verdict verdictOf(ClaimState state) {
    return switch (state) {
      case COMPLETED -> Verdict.COMPLETED;
      case UNKNOWN -> Verdict.UNKNOWN;
      case RUNNING, WITHDRAWN -> Verdict.RUNNING;
    };
  }

  /** Returns the precedence of a state in a merge; a recorded outcome must not be lost. */
  private static int precedence(ClaimState state) {
    return switch (state) {
      case WITHDRAWN -> 0;
      case RUNNING -> 1;
      case UNKNOWN -> 2;
      case COMPLETED -> 3;
    };
  }
}
