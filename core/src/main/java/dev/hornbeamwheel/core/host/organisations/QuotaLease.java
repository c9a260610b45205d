package dev.hornbeamwheel.core.host.organisations;

import dev.hornbeamwheel.core.model.OrganisationId;
import java.util.Map;

/**
 * A host's parts of quotas for the time without a coordinator, in addition to its reserved parts;
 * it replaces the earlier lease. It lasts from the time at which the host has requested it.
 *
 * @param number number of the request for the lease
 * @param fleetSize number of hosts among which the reserved part of each quota is divided; zero if
 *     the coordinator does not know it yet
 * @param parts leased part of the quota of each organisation, from zero to one; zero if missing
 */
public record QuotaLease(long number, int fleetSize, Map<OrganisationId, Double> parts) {
  /** Time for which a lease lasts, in milliseconds; outlasts the election of a coordinator. */
  public static final long DURATION_MILLIS = 6_000;

  /** Creates a lease with a copy of the parts. */
  public QuotaLease {
    parts = Map.copyOf(parts);
    QuotaParts.requireParts(parts.values());
  }
}
