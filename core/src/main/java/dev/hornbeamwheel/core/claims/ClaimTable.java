package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.claims.ClaimMessage.Verdict;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.IdempotencyKey;
import dev.hornbeamwheel.core.model.RequestId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The claims that one voter remembers of one cell, oldest first. */
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

  /** Records a claim if the key is free, and returns what became of it. */
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
    boolean same = entry.holder.equals(claim.requestId());
    if (entry.state == ClaimState.WITHDRAWN) {
      return reclaim(id, entry, claim, same, nowMillis);
    }
    if (same && entry.state == ClaimState.RUNNING) {
      entry.round = Math.max(entry.round, claim.round());
      return Verdict.RECORDED;
    }
    return verdictOf(entry.state);
  }

  /** Returns the status that an earlier request with the key was answered with, or zero. */
  int statusOf(ContractId contract, IdempotencyKey key) {
    Entry entry = entries.get(new ClaimId(contract, key));
    return entry == null ? 0 : entry.status;
  }

  /** Records how a claimed request ended; a request that holds no claim is ignored. */
  void recordOutcome(ClaimMessage.RecordOutcome settle) {
    Entry entry = entries.get(new ClaimId(settle.contract(), settle.key()));
    boolean holds = entry != null && entry.holder.equals(settle.requestId());
    if (!holds || entry.state != ClaimState.RUNNING || settle.round() < entry.round) {
      return;
    }
    entry.state = settle.state();
    entry.status = settle.status();
  }

  /** Takes over claims of another voter; of two records of one key the safer one stays. */
  void merge(List<ClaimRecord> records, long nowMillis) {
    records.forEach(record -> merge(record, nowMillis));
  }

  private void merge(ClaimRecord record, long nowMillis) {
    ClaimId id = new ClaimId(record.contract(), record.key());
    Entry mine = entries.get(id);
    if (mine != null && !mine.holder.equals(record.holder()) && bothRunning(mine, record)) {
      mine.state = ClaimState.UNKNOWN;
      return;
    }
    if (mine != null && !overrides(record, mine)) {
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

  /** Forgets the claims recorded before a time. */
  void removeBefore(long millis) {
    entries.values().removeIf(entry -> entry.recordedAtMillis < millis);
  }

  private static boolean bothRunning(Entry mine, ClaimRecord record) {
    return mine.state == ClaimState.RUNNING && record.state() == ClaimState.RUNNING;
  }

  private static boolean overrides(ClaimRecord record, Entry mine) {
    boolean withdrawn =
        record.state() == ClaimState.WITHDRAWN
            && mine.state == ClaimState.RUNNING
            && record.holder().equals(mine.holder)
            && record.round() >= mine.round;
    return withdrawn || precedence(record.state()) > precedence(mine.state);
  }

  private Verdict reclaim(
      ClaimId id, Entry entry, ClaimMessage.Claim claim, boolean same, long nowMillis) {
    if (same && claim.round() <= entry.round) {
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

  /** Returns how much a state must not be forgotten; a settled state is the last word. */
  private static int precedence(ClaimState state) {
    return switch (state) {
      case WITHDRAWN -> 0;
      case RUNNING -> 1;
      case UNKNOWN -> 2;
      case COMPLETED -> 3;
    };
  }
}
