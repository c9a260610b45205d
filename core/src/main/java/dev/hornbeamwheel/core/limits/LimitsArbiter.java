package dev.hornbeamwheel.core.limits;

import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.config.Contract;
import dev.hornbeamwheel.core.config.DataCentre;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Leases the shares of a group of contracts to the routers of one data centre.
 *
 * <p>The sum of what routers may hold never exceeds the share of the data centre, and the sum of
 * the shares of all data centres, kept in one table row, never exceeds the contract. After a change
 * of the arbiter, holders are only renewed until the leases that the new arbiter does not know of
 * have lapsed. Without the platform the data centre keeps the share that it has.
 */
public final class LimitsArbiter implements Reducer<ArbiterEvent, LimitsEffect> {
  private static final Share UNKNOWN =
      new Share(Long.MAX_VALUE / 2, Long.MAX_VALUE / 2, Integer.MAX_VALUE / 2);

  private final DataCentreId own;
  private final int group;
  private final long requestLifetimeMillis;
  private final ReuseRule reuseRule;
  private final ShareTable table;
  private Map<ContractId, Contract> contracts = new TreeMap<>();
  private final Map<ContractId, Ledger> ledgers = new HashMap<>();
  private boolean leads;
  private long nextExpiryMillis;
  private long ledSinceMillis;
  private Optional<Map<ContractId, Share>> inferred = Optional.empty();

  private LimitsArbiter(
      DataCentreId own, int group, long requestLifetimeMillis, ReuseRule reuseRule) {
    this.own = own;
    this.group = group;
    this.requestLifetimeMillis = requestLifetimeMillis;
    this.reuseRule = reuseRule;
    this.table = new ShareTable(own, group);
  }

  /**
   * Returns the arbiter of a group in a data centre, which does nothing until it leads.
   *
   * @param dataCentre the data centre
   * @param group the group of contracts
   * @param requestLifetimeMillis longest time that a request of a lost router stays in flight
   */
  public static LimitsArbiter of(DataCentreId dataCentre, int group, long requestLifetimeMillis) {
    return withReuseRule(dataCentre, group, requestLifetimeMillis, ReuseRule.AFTER_LAPSE);
  }

  /** Returns an arbiter with a rule of its own, for tests that show what the rule prevents. */
  static LimitsArbiter withReuseRule(
      DataCentreId dataCentre, int group, long requestLifetimeMillis, ReuseRule reuseRule) {
    return new LimitsArbiter(dataCentre, group, requestLifetimeMillis, reuseRule);
  }

  /** Returns what the routers of the data centre may hold of a contract now. */
  public Share counted(ContractId contract) {
    Ledger ledger = ledgers.get(contract);
    return ledger == null ? Share.NONE : ledger.counted();
  }

  @Override
  public List<LimitsEffect> reduce(ArbiterEvent event) {
    if (event instanceof ArbiterEvent.DeclarationsInForce inForce) {
      declare(inForce.declarations());
    } else if (event instanceof ArbiterEvent.BecameLeader) {
      lead(event.atMillis());
    } else if (event instanceof ArbiterEvent.LostLeadership) {
      leads = false;
      ledgers.clear();
    }
    if (!leads) {
      return List.of();
    }
    expire(event.atMillis());
    if (event instanceof ArbiterEvent.RequestReceived received) {
      return answer(received).stream().toList();
    }
    if (event instanceof ArbiterEvent.RowRead read && table.current(read.attempt())) {
      Function<ContractId, DivisionPlan.Scene> scenes = id -> scene(id, read.atMillis());
      return table.plan(read.row(), scenes, contracts).stream().toList();
    }
    if (event instanceof ArbiterEvent.RowWritten written && table.current(written.attempt())) {
      table.adopt(written.row());
      return List.of();
    }
    return table.poll(event.atMillis()).stream().toList();
  }

  private void declare(Declarations declarations) {
    contracts =
        declarations.contracts().stream()
            .filter(contract -> ContractGroups.of(contract.id()) == group)
            .collect(
                Collectors.toMap(
                    Contract::id, Function.identity(), (first, second) -> first, TreeMap::new));
    table.dataCentres(
        declarations.dataCentres().stream()
            .map(DataCentre::id)
            .filter(id -> !declarations.lostDataCentres().contains(id))
            .sorted()
            .toList(),
        declarations.lostDataCentres());
  }

  private void lead(long nowMillis) {
    leads = true;
    ledSinceMillis = nowMillis;
    nextExpiryMillis = nowMillis;
    ledgers.clear();
    inferred = Optional.empty();
    table.reset();
  }

  private void expire(long nowMillis) {
    if (nowMillis < nextExpiryMillis) {
      return;
    }
    nextExpiryMillis = nowMillis + LimitsTiming.EXPIRY_MILLIS;
    ledgers.values().forEach(ledger -> ledger.expire(nowMillis));
    if (inferred.isEmpty() && settled(nowMillis)) {
      Map<ContractId, Share> caps = new HashMap<>();
      ledgers.forEach((contract, ledger) -> caps.put(contract, ledger.counted()));
      inferred = Optional.of(caps);
    }
  }

  /** Returns whether all leases of an earlier arbiter have lapsed. */
  private boolean settled(long nowMillis) {
    return reuseRule.surelyLapsed(nowMillis - ledSinceMillis);
  }

  /** Returns whether the requests of routers that an earlier arbiter knew have ended. */
  private boolean requestsEnded(long nowMillis) {
    return nowMillis - ledSinceMillis >= LimitsTiming.SURELY_LAPSED_MILLIS + requestLifetimeMillis;
  }

  private Optional<LimitsEffect> answer(ArbiterEvent.RequestReceived received) {
    LimitsMessage.Request request = received.request();
    Ledger.Holder holder = new Ledger.Holder(received.from(), request.incarnation());
    List<LimitsMessage.Granted> grants =
        request.claims().stream()
            .flatMap(claim -> grant(holder, request, claim, received.atMillis()))
            .toList();
    boolean stale = grants.isEmpty();
    List<LimitsMessage.Granted> usable =
        grants.stream().filter(granted -> !granted.share().isNone()).toList();
    return stale
        ? Optional.empty()
        : Optional.of(
            new LimitsEffect.Send(
                received.from(),
                new LimitsMessage.Grant(
                    group, request.sequence(), LimitsTiming.LEASE_MILLIS, usable)));
  }

  private Stream<LimitsMessage.Granted> grant(
      Ledger.Holder holder,
      LimitsMessage.Request request,
      LimitsMessage.Claim claim,
      long nowMillis) {
    return ledgers
        .computeIfAbsent(claim.contract(), id -> new Ledger(reuseRule, requestLifetimeMillis))
        .answer(holder, request, claim, limit(claim.contract(), nowMillis))
        .map(share -> new LimitsMessage.Granted(claim.contract(), share))
        .stream();
  }

  private Ledger.Limit limit(ContractId id, long nowMillis) {
    Contract contract = contracts.get(id);
    if (contract == null) {
      return new Ledger.Limit(Share.NONE, true, true, nowMillis);
    }
    Share whole = Share.of(contract.ratePerSecond(), contract.burst(), contract.concurrency());
    if (inferred.isEmpty()) {
      return new Ledger.Limit(whole, true, true, nowMillis);
    }
    Share least = inferred.get().getOrDefault(id, Share.NONE).min(whole);
    Share cap = table.cap(contract).orElse(least);
    return new Ledger.Limit(cap, false, !requestsEnded(nowMillis), nowMillis);
  }

  private DivisionPlan.Scene scene(ContractId contract, long nowMillis) {
    Ledger ledger = ledgers.get(contract);
    return new DivisionPlan.Scene(
        own,
        table.dataCentres(),
        table.lost(),
        ledger == null ? Share.NONE : ledger.wanted(),
        reclaimable(ledger == null ? Share.NONE : ledger.counted(), nowMillis));
  }

  /** Returns what may be held, which is unknown while an earlier arbiter's leases may stand. */
  private Share reclaimable(Share counted, long nowMillis) {
    if (!settled(nowMillis)) {
      return UNKNOWN;
    }
    return requestsEnded(nowMillis)
        ? counted
        : new Share(counted.milliRate(), counted.burst(), UNKNOWN.concurrency());
  }
}
