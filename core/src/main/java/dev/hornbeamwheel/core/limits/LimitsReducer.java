package dev.hornbeamwheel.core.limits;

import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.config.Contract;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.Incarnation;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Admits requests of a router within the shares that arbiters have leased to it.
 *
 * <pre>{@code
 * Admission admission = limits.admit(contract, nowMillis);
 * if (admission.admitted()) {
 *   run(request).whenDone(() -> limits.finished(contract));
 * } else {
 *   refuse(request, admission, limits.retryAfterMillis(contract, nowMillis));
 * }
 * }</pre>
 */
public final class LimitsReducer implements Reducer<LimitsEvent, LimitsEffect> {
  private final Incarnation incarnation;
  private final List<GroupLease> groups;
  private final Map<ContractId, Entry> entries = new HashMap<>();

  private LimitsReducer(Incarnation incarnation, LapseRule lapseRule) {
    this.incarnation = incarnation;
    this.groups =
        IntStream.range(0, ContractGroups.COUNT)
            .mapToObj(group -> new GroupLease(group, lapseRule))
            .toList();
  }

  /** Returns the reducer of one start of a router. */
  public static LimitsReducer of(Incarnation incarnation) {
    return withLapseRule(incarnation, LapseRule.AT_EXPIRY);
  }

  /** Returns a reducer with a rule of its own, for tests that show what the rule prevents. */
  static LimitsReducer withLapseRule(Incarnation incarnation, LapseRule lapseRule) {
    return new LimitsReducer(incarnation, lapseRule);
  }

  /**
   * Decides whether a request of a contract may run now, without allocation.
   *
   * @param contract the contract of the caller
   * @param nowMillis monotonic time, not before that of an earlier call or event
   */
  public Admission admit(ContractId contract, long nowMillis) {
    Entry entry = entries.get(contract);
    if (entry == null) {
      return Admission.UNKNOWN_CONTRACT;
    }
    entry.lease.checkLapse(nowMillis);
    Admission admission = entry.bucket.admit(nowMillis);
    if (admission == Admission.NO_SHARE) {
      entry.lease.hasten();
    }
    return admission;
  }

  /** Returns how long a caller that was not admitted should wait, in milliseconds. */
  public long retryAfterMillis(ContractId contract, long nowMillis) {
    Entry entry = entries.get(contract);
    return entry == null
        ? LimitsTiming.NO_SHARE_RETRY_MILLIS
        : entry.bucket.retryAfterMillis(nowMillis);
  }

  /** Counts an admitted request as finished. */
  public void finished(ContractId contract) {
    Entry entry = entries.get(contract);
    if (entry != null) {
      entry.bucket.finished();
    }
  }

  /** Returns the share of a contract that this router holds now. */
  public Share share(ContractId contract) {
    Entry entry = entries.get(contract);
    return entry == null ? Share.NONE : entry.bucket.share();
  }

  @Override
  public List<LimitsEffect> reduce(LimitsEvent event) {
    long nowMillis = event.atMillis();
    groups.forEach(lease -> lease.checkLapse(nowMillis));
    if (event instanceof LimitsEvent.ContractsInForce inForce) {
      contracts(inForce.contracts());
    } else if (event instanceof LimitsEvent.ArbiterKnown known) {
      groups.get(known.group()).arbiter(known.arbiter());
    } else if (event instanceof LimitsEvent.GrantReceived received) {
      groups.get(received.grant().group()).apply(received.grant(), nowMillis);
    }
    return groups.stream()
        .flatMap(lease -> lease.requestIfDue(incarnation, nowMillis).stream())
        .toList();
  }

  private void contracts(List<Contract> contracts) {
    Set<ContractId> named = contracts.stream().map(Contract::id).collect(Collectors.toSet());
    new HashSet<>(entries.keySet())
        .stream()
            .filter(id -> !named.contains(id))
            .map(entries::remove)
            .forEach(entry -> entry.lease.remove(entry.bucket));
    contracts.forEach(
        contract ->
            entries
                .computeIfAbsent(contract.id(), id -> entry(contract))
                .bucket
                .contract(contract));
  }

  private Entry entry(Contract contract) {
    GroupLease lease = groups.get(ContractGroups.of(contract.id()));
    Bucket bucket = new Bucket(contract);
    lease.add(bucket);
    return new Entry(bucket, lease);
  }

  private record Entry(Bucket bucket, GroupLease lease) {}
}
