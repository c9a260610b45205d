package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Tracks data centres in which most owners are suspected at the same time.
 *
 * <p>The network to such a data centre has probably failed, while its upstreams still run.
 */
final class UnreachableDataCentres {
  /** Fraction of a data centre's owners above which suspected owners make it unreachable. */
  private static final double SUSPECTED_FRACTION = 0.6;

  /** Minimum number of suspected owners that make a data centre unreachable. */
  private static final int MIN_SUSPECTED_OWNERS = 2;

  private final Catalog catalog;
  private final Map<DataCentreId, Long> unreachableSinceMillis = new HashMap<>();

  UnreachableDataCentres(Catalog catalog) {
    this.catalog = catalog;
  }

  /** Updates which data centres are unreachable, given the owners of all ranges. */
  void update(
      long nowMillis, Collection<KeyOwner> owners, UpstreamFailureDetector failureDetector) {
    if (owners.stream()
        .noneMatch(owner -> failureDetector.suspected(nowMillis, owner.incarnation()))) {
      unreachableSinceMillis.clear();
      return;
    }
    Map<DataCentreId, List<KeyOwner>> byDataCentre =
        owners.stream()
            .filter(owner -> dataCentre(owner).isPresent())
            .collect(Collectors.groupingBy(owner -> dataCentre(owner).orElseThrow()));
    unreachableSinceMillis.keySet().retainAll(byDataCentre.keySet());
    byDataCentre.forEach(
        (dataCentre, ownersInDataCentre) -> {
          long suspectedOwners =
              ownersInDataCentre.stream()
                  .filter(owner -> failureDetector.suspected(nowMillis, owner.incarnation()))
                  .count();
          if (suspectedOwners >= MIN_SUSPECTED_OWNERS
              && suspectedOwners > ownersInDataCentre.size() * SUSPECTED_FRACTION) {
            unreachableSinceMillis.putIfAbsent(dataCentre, nowMillis);
          } else {
            unreachableSinceMillis.remove(dataCentre);
          }
        });
  }

  /** Returns whether the data centre of an owner is unreachable. */
  boolean contains(KeyOwner owner) {
    return dataCentre(owner).map(unreachableSinceMillis::containsKey).orElse(false);
  }

  /** Returns how long an owner's data centre has been unreachable, in milliseconds; else zero. */
  long unreachableMillis(long nowMillis, KeyOwner owner) {
    return dataCentre(owner)
        .map(unreachableSinceMillis::get)
        .map(since -> nowMillis - since)
        .orElse(0L);
  }

  private Optional<DataCentreId> dataCentre(KeyOwner owner) {
    return catalog.upstream(owner.incarnation().id()).map(UpstreamRegistration::dataCentre);
  }
}
