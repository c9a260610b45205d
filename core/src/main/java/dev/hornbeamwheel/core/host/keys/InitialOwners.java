package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Assigns the keys of a service without owners once the number of eligible upstreams is stable. */
final class InitialOwners {
  /** Delay of the first assignment after the last change of eligible upstreams, in milliseconds. */
  static final long DELAY_MILLIS = 1_500;

  private int eligibleCount;
  private long eligibleCountChangedMillis;

  /** Returns whether the keys can be assigned to the upstreams that are eligible now. */
  boolean due(long nowMillis, List<UpstreamRegistration> eligible) {
    if (eligible.size() != eligibleCount) {
      eligibleCount = eligible.size();
      eligibleCountChangedMillis = nowMillis;
    }
    return !eligible.isEmpty() && nowMillis - eligibleCountChangedMillis >= DELAY_MILLIS;
  }

  /** Divides all keys among upstreams, in proportion to capacity. */
  static Map<KeyRange, UpstreamRegistration> of(
      List<UpstreamRegistration> upstreams, Capacity capacity) {
    List<UpstreamRegistration> ordered = interleavedByDataCentre(upstreams);
    double total = ordered.stream().mapToDouble(capacity::requestsPerSecond).sum();
    Map<KeyRange, UpstreamRegistration> owners = new HashMap<>();
    double assignedCapacity = 0;
    int first = 0;
    for (int i = 0; i < ordered.size(); i++) {
      assignedCapacity += capacity.requestsPerSecond(ordered.get(i));
      int last =
          i == ordered.size() - 1
              ? KeyRange.MAX_KEY
              : (int) Math.round(assignedCapacity / total * (KeyRange.MAX_KEY + 1)) - 1;
      if (last >= first) {
        owners.put(new KeyRange(first, last), ordered.get(i));
        first = last + 1;
      }
    }
    return owners;
  }

  /** Orders upstreams so that adjacent ones are in different data centres where possible. */
  private static List<UpstreamRegistration> interleavedByDataCentre(
      List<UpstreamRegistration> upstreams) {
    Map<DataCentreId, Integer> counts = new HashMap<>();
    Map<UpstreamId, Integer> indexInDataCentre = new HashMap<>();
    upstreams.stream()
        .sorted(Comparator.comparing(UpstreamRegistration::id))
        .forEach(
            registration ->
                indexInDataCentre.put(
                    registration.id(), counts.merge(registration.dataCentre(), 1, Integer::sum)));
    return upstreams.stream()
        .sorted(
            Comparator.comparing(
                    (UpstreamRegistration registration) -> indexInDataCentre.get(registration.id()))
                .thenComparing(UpstreamRegistration::dataCentre))
        .toList();
  }
}
