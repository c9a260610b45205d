package dev.hornbeamwheel.core.host.organisations;

import dev.hornbeamwheel.core.model.OrganisationId;
import java.util.Map;

/**
 * Asks the coordinator for a lease on parts of quotas, or for its renewal, and shows that the host
 * uses the coordinator.
 *
 * @param number number that is unique within the host
 * @param fleetSize number of hosts by the last lease; zero if unknown
 * @param demand recent requests of each organisation at this host, in any unit that is common to
 *     all hosts; organisations without requests are missing
 * @param heldParts leased parts that this host holds now
 */
public record QuotaLeaseRequest(
    long number,
    int fleetSize,
    Map<OrganisationId, Double> demand,
    Map<OrganisationId, Double> heldParts) {
  /** Creates a request with copies of the maps. */
  public QuotaLeaseRequest {
    demand = Map.copyOf(demand);
    heldParts = Map.copyOf(heldParts);
    QuotaParts.requireParts(heldParts.values());
    if (demand.values().stream().anyMatch(each -> !(each >= 0 && each <= Double.MAX_VALUE))) {
      throw new IllegalArgumentException("demand is not a finite, non-negative number");
    }
  }
}
