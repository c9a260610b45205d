package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamEntry;
import dev.hornbeamwheel.core.model.DataCentreId;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** Data centres most of whose owners fell silent together: probably cut off, not lost. */
final class CutOffDataCentres {
  /** Part of a data centre's owners that must be silent for it to count as cut off. */
  private static final double SILENT_PART = 0.6;

  /** Fewest silent owners for it. */
  private static final int LEAST_SILENT = 2;

  private final Catalog catalog;
  private final Map<DataCentreId, Long> sinceMillis = new HashMap<>();

  CutOffDataCentres(Catalog catalog) {
    this.catalog = catalog;
  }

  void note(long nowMillis, Collection<KeyOwner> owners, UpstreamContact contact) {
    if (owners.stream().noneMatch(owner -> contact.suspect(nowMillis, owner.life()))) {
      sinceMillis.clear();
      return;
    }
    Map<DataCentreId, List<KeyOwner>> byDataCentre =
        owners.stream()
            .filter(owner -> dataCentre(owner).isPresent())
            .collect(Collectors.groupingBy(owner -> dataCentre(owner).orElseThrow()));
    sinceMillis.keySet().retainAll(byDataCentre.keySet());
    byDataCentre.forEach(
        (dataCentre, there) -> {
          long silent =
              there.stream().filter(owner -> contact.suspect(nowMillis, owner.life())).count();
          if (silent >= LEAST_SILENT && silent > there.size() * SILENT_PART) {
            sinceMillis.putIfAbsent(dataCentre, nowMillis);
          } else {
            sinceMillis.remove(dataCentre);
          }
        });
  }

  boolean contains(KeyOwner owner) {
    return dataCentre(owner).map(sinceMillis::containsKey).orElse(false);
  }

  /** Returns for how long the data centre of an owner has been cut off; zero if it is not. */
  long lastsFor(long nowMillis, KeyOwner owner) {
    return dataCentre(owner).map(sinceMillis::get).map(since -> nowMillis - since).orElse(0L);
  }

  private Optional<DataCentreId> dataCentre(KeyOwner owner) {
    return catalog.upstream(owner.life().id()).map(UpstreamEntry::dataCentre);
  }
}
