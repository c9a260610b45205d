package dev.hornbeamwheel.core.host.cold;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The leases that the coordinator grants to hosts, so that each cold upstream has a few hosts at
 * most that may use it without a coordinator.
 *
 * <p>Only the holder of the coordinator's lease may call {@link #renew}. A new coordinator takes
 * over the leases that hosts report, and grants others only when all that it has not been told of
 * have expired. A host is known by its name: it has one process at a time.
 */
public final class ColdLeases {
  /** Maximum number of hosts that hold a lease for one partition. */
  public static final int MAX_HOLDERS = 3;

  /**
   * Time by which the coordinator counts a lease longer than its holder, in milliseconds; allows
   * for clocks of different speed.
   */
  static final long EXPIRY_MARGIN_MILLIS = 500;

  private static final long EXPIRY_MILLIS = ColdLease.DURATION_MILLIS + EXPIRY_MARGIN_MILLIS;

  /** Expiry times of the leases for one partition, by holder. */
  private static final class Holders {
    private final Map<HostId, Long> expiryMillis = new HashMap<>();

    private void removeExpired(long nowMillis) {
      expiryMillis.values().removeIf(expiry -> nowMillis >= expiry);
    }

    private boolean free() {
      return expiryMillis.size() < MAX_HOLDERS;
    }
  }

  private final Map<DataCentreId, List<Holders>> holders = new HashMap<>();
  private final long settledMillis;

  private ColdLeases(long settledMillis) {
    this.settledMillis = settledMillis;
  }

  /** Returns the leases of a term of the coordinator that starts now. */
  public static ColdLeases startTerm(long nowMillis) {
    return new ColdLeases(nowMillis + EXPIRY_MILLIS);
  }

  /**
   * Renews the lease of a host; returns its partitions.
   *
   * @param hostCount number of connected hosts of the data centre, which share its partitions
   */
  public Set<Integer> renew(
      long nowMillis,
      DataCentreId dataCentre,
      HostId host,
      ColdLeaseRequest request,
      int hostCount) {
    List<Holders> partitions = holders.computeIfAbsent(dataCentre, id -> noHolders());
    partitions.forEach(holder -> holder.removeExpired(nowMillis));
    boolean settled = nowMillis >= settledMillis;
    Stream<Integer> held =
        IntStream.range(0, ColdPartitions.COUNT)
            .filter(partition -> partitions.get(partition).expiryMillis.containsKey(host))
            .boxed();
    Stream<Integer> others =
        (settled ? freePartitions(partitions) : request.heldPartitions().stream())
            .filter(ColdPartitions::exists)
            .filter(partition -> partitions.get(partition).free());
    Set<Integer> renewed =
        Stream.concat(held, others)
            .distinct()
            .limit(fairShare(hostCount))
            .collect(Collectors.toSet());
    renewed.forEach(
        partition -> partitions.get(partition).expiryMillis.put(host, nowMillis + EXPIRY_MILLIS));
    return renewed;
  }

  private static List<Holders> noHolders() {
    return Stream.generate(Holders::new).limit(ColdPartitions.COUNT).toList();
  }

  /** Returns the partitions, the ones with the fewest holders first. */
  private static Stream<Integer> freePartitions(List<Holders> partitions) {
    return IntStream.range(0, ColdPartitions.COUNT)
        .boxed()
        .sorted(
            Comparator.comparingInt(partition -> partitions.get(partition).expiryMillis.size()));
  }

  private static int fairShare(int hostCount) {
    return (int) Math.ceil(MAX_HOLDERS * ColdPartitions.COUNT / (double) Math.max(1, hostCount));
  }
}
