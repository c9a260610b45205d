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

/** Data centres most of whose owners fell silent together: probably cut off, not lost. */
final class UnreachableDataCentres {
  /** Part of a data centre's owners that must be silent for it to count as cut off. */
  private static final double SUSPECTED_FRACTION = 0.6;

  /** Fewest silent owners for it. */
  private static final int MIN_SUSPECTED_OWNERS = 2;

  private final Catalog catalog;
  private final Map<DataCentreId, Long> unreachableSinceMillis = new HashMap<>();

  UnreachableDataCentres(Catalog catalog) {
    this.catalog = catalog;
  }

  void update(long nowMillis, Collection<KeyOwner> owners, UpstreamFailureDetector contact) {
    if (owners.stream().noneMatch(owner -> contact.suspected(nowMillis, owner.incarnation()))) {
      unreachableSinceMillis.clear();
      return;
    }
    Map<DataCentreId, List<KeyOwner>> byDataCentre =
        owners.stream()
            .filter(owner -> dataCentre(owner).isPresent())
            .collect(Collectors.groupingBy(owner -> dataCentre(owner).orElseThrow()));
    unreachableSinceMillis.keySet().retainAll(byDataCentre.keySet());
    byDataCentre.forEach(
        (dataCentre, there) -> {
          long silent =
              there.stream()
                  .filter(owner -> contact.suspected(nowMillis, owner.incarnation()))
                  .count();
          if (silent >= MIN_SUSPECTED_OWNERS && silent > there.size() * SUSPECTED_FRACTION) {
            unreachableSinceMillis.putIfAbsent(dataCentre, nowMillis);
          } else {
            unreachableSinceMillis.remove(dataCentre);
          }
        });
  }

  boolean contains(KeyOwner owner) {
    return dataCentre(owner).map(unreachableSinceMillis::containsKey).orElse(false);
  }

  /** Returns for how long the data centre of an owner has been cut off; zero if it is not. */
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
