package dev.hornbeamwheel.core.limits;

import dev.hornbeamwheel.core.config.Contract;
import dev.hornbeamwheel.core.limits.SharesRow.Division;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * What one data centre knows of the row that divides its contracts.
 *
 * <p>The row is trusted only once its version has passed the first one that was read: until then a
 * write of an earlier arbiter that lowers the share may still be under way. For the same reason a
 * share that this process has asked to lower counts as lowered until the version passes.
 */
final class ShareTable {
  private final DataCentreId own;
  private final int group;
  private List<DataCentreId> dataCentres = List.of();
  private Set<DataCentreId> lost = Set.of();
  private final Map<ContractId, Share> ceilings = new HashMap<>();
  private final Map<ContractId, Share> lowerings = new HashMap<>();
  private Optional<SharesRow> row = Optional.empty();
  private long firstVersion;
  private long writtenVersion;
  private long attempt;
  private long firstAttempt;
  private long nextPollMillis = Long.MIN_VALUE;

  ShareTable(DataCentreId own, int group) {
    this.own = own;
    this.group = group;
  }

  void dataCentres(List<DataCentreId> all, Set<DataCentreId> newLost) {
    dataCentres = all;
    lost = newLost;
  }

  List<DataCentreId> dataCentres() {
    return dataCentres;
  }

  Set<DataCentreId> lost() {
    return lost;
  }

  /** Forgets all, because another process may have been the arbiter meanwhile. */
  void reset() {
    row = Optional.empty();
    ceilings.clear();
    lowerings.clear();
    firstAttempt = attempt + 1;
    nextPollMillis = Long.MIN_VALUE;
  }

  /** Returns whether an attempt was made since the last reset. */
  boolean current(long someAttempt) {
    return someAttempt >= firstAttempt;
  }

  Optional<LimitsEffect> poll(long nowMillis) {
    if (nowMillis < nextPollMillis) {
      return Optional.empty();
    }
    nextPollMillis = nowMillis + LimitsTiming.ROW_MILLIS;
    return Optional.of(read());
  }

  LimitsEffect read() {
    return new LimitsEffect.ReadRow(group, ++attempt);
  }

  /** Returns what the data centre may use; empty while the row is not known for certain. */
  Optional<Share> cap(Contract contract) {
    return row.filter(known -> known.version() > firstVersion).map(known -> capOf(known, contract));
  }

  private Share capOf(SharesRow known, Contract contract) {
    Division division = known.division(contract.id());
    Share share = division.share(own);
    return DivisionPlan.usable(division, own, contract)
        .min(ceilings.getOrDefault(contract.id(), share))
        .min(lowerings.getOrDefault(contract.id(), share));
  }

  /** Takes note of the row unless a newer one is known; returns whether it did. */
  boolean adopt(SharesRow newRow) {
    if (row.isPresent() && row.get().version() > newRow.version()) {
      return false;
    }
    if (row.isEmpty()) {
      firstVersion = newRow.version();
    }
    if (newRow.version() > writtenVersion) {
      lowerings.clear();
    }
    row = Optional.of(newRow);
    return true;
  }

  /** Takes note of the row and plans the next step; empty if there is nothing to write. */
  Optional<LimitsEffect> plan(
      SharesRow read,
      Function<ContractId, DivisionPlan.Scene> scenes,
      Map<ContractId, Contract> contracts) {
    if (!adopt(read) || dataCentres.isEmpty()) {
      return Optional.empty();
    }
    Map<ContractId, Division> changed = new TreeMap<>();
    contracts.forEach((id, contract) -> planContract(read, contract, scenes.apply(id), changed));
    boolean settled = read.version() > firstVersion && lowerings.isEmpty();
    if (changed.isEmpty() && settled) {
      return Optional.empty();
    }
    writtenVersion = read.version();
    SharesRow next = read.with(changed);
    return Optional.of(new LimitsEffect.WriteRow(next, read.version(), ++attempt));
  }

  private void planContract(
      SharesRow read,
      Contract contract,
      DivisionPlan.Scene scene,
      Map<ContractId, Division> changed) {
    Division before = read.division(contract.id());
    DivisionPlan plan = DivisionPlan.of(before, contract, scene);
    ceilings.put(contract.id(), plan.ceiling());
    if (plan.division().equals(before)) {
      return;
    }
    changed.put(contract.id(), plan.division());
    Share next = plan.division().share(own);
    if (!before.share(own).fitsIn(next)) {
      lowerings.merge(contract.id(), next, Share::min);
    }
  }
}
