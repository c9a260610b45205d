package dev.hornbeamwheel.core.config;

import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.Set;

/**
 * A declared contract with one customer, from which every limit follows.
 *
 * @param id the contract
 * @param tokenSha256 lower-case hexadecimal SHA-256 of the token that callers present
 * @param ratePerSecond requests admitted a second over the whole fleet
 * @param burst requests admitted at once beyond the rate
 * @param concurrency requests in flight at once over the whole fleet
 * @param services services that the customer may call
 */
public record Contract(
    ContractId id,
    String tokenSha256,
    long ratePerSecond,
    long burst,
    int concurrency,
    Set<ServiceId> services) {
  /** Copies the set of services. */
  public Contract {
    services = Set.copyOf(services);
  }
}
