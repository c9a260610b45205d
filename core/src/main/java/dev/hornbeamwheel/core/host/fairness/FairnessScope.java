package dev.hornbeamwheel.core.host.fairness;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which services have fair shares.
 *
 * <p>The configuration has no field for it. A service has fair shares from when an upstream of it
 * declares more than two slots, with fewer of which a share is less than one request at a time, or
 * a request of it names an organisation. It keeps them, so that the loss of its last upstream does
 * not change the rules for the requests that wait.
 */
public final class FairnessScope {
  private static final int SLOTS_WITHOUT_SHARES = 2;

  private final Catalog catalog;
  private final Set<ServiceId> included = new HashSet<>();

  /** The upstreams by which a service was not included; the catalogue replaces changed lists. */
  private final Map<ServiceId, List<UpstreamRegistration>> excludedBy = new HashMap<>();

  private FairnessScope(Catalog catalog) {
    this.catalog = catalog;
  }

  /** Returns the scope given by the registrations in a catalogue. */
  public static FairnessScope of(Catalog catalog) {
    return new FairnessScope(catalog);
  }

  /** Records that a request of a service names an organisation. */
  public void recordOrganisation(ServiceId service) {
    included.add(service);
  }

  /** Returns whether a service has fair shares. */
  public boolean includes(ServiceId service) {
    if (included.contains(service)) {
      return true;
    }
    List<UpstreamRegistration> upstreams = catalog.usable(service);
    if (sameList(excludedBy.put(service, upstreams), upstreams)) {
      return false;
    }
    return upstreams.stream().anyMatch(entry -> entry.slots() > SLOTS_WITHOUT_SHARES)
        && included.add(service);
  }

  @SuppressWarnings("ReferenceEquality") // An equal list is only computed once more.
  private static boolean sameList(
      List<UpstreamRegistration> one, List<UpstreamRegistration> other) {
    return one == other;
  }
}
