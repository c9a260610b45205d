package dev.hornbeamwheel.core.limits;

import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Table row that divides the contracts of one group over the data centres.
 *
 * @param group the group
 * @param version version of the row, from one; zero before the first write
 * @param contracts division of each contract; absent if it was never divided
 */
public record SharesRow(int group, long version, Map<ContractId, Division> contracts) {
  /** Copies the map. */
  public SharesRow {
    contracts = Map.copyOf(contracts);
  }

  /** Returns the row before the first write. */
  public static SharesRow initial(int group) {
    return new SharesRow(group, 0, Map.of());
  }

  /** Returns the division of a contract, empty if it was never divided. */
  public Division division(ContractId contract) {
    return contracts.getOrDefault(contract, Division.EMPTY);
  }

  /** Returns the row of the next version with some divisions replaced. */
  SharesRow with(Map<ContractId, Division> changed) {
    Map<ContractId, Division> all = new TreeMap<>(contracts);
    all.putAll(changed);
    return new SharesRow(group, version + 1, all);
  }

  /** What each data centre may use of one contract, and what it would like to use. */
  public record Division(Map<DataCentreId, Entry> entries) {
    static final Division EMPTY = new Division(Map.of());

    /** Copies the map. */
    public Division {
      entries = Map.copyOf(entries);
    }

    /** Returns the share of a data centre. */
    public Share share(DataCentreId dataCentre) {
      Entry entry = entries.get(dataCentre);
      return entry == null ? Share.NONE : entry.share();
    }

    /** Returns the sum of all shares. */
    public Share total() {
      return entries.values().stream().map(Entry::share).reduce(Share.NONE, Share::plus);
    }

    Division with(DataCentreId dataCentre, Entry entry) {
      Map<DataCentreId, Entry> all = new TreeMap<>(entries);
      all.put(dataCentre, entry);
      return new Division(all);
    }

    Division without(Set<DataCentreId> dataCentres) {
      return new Division(
          entries.entrySet().stream()
              .filter(entry -> !dataCentres.contains(entry.getKey()))
              .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)));
    }
  }

  /**
   * Part of one data centre.
   *
   * @param share what it may use; only the data centre itself lowers it
   * @param wanted what would satisfy its callers
   */
  public record Entry(Share share, Share wanted) {}
}
