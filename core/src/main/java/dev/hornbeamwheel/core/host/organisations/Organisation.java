package dev.hornbeamwheel.core.host.organisations;

import dev.hornbeamwheel.core.model.OrganisationId;
import java.util.OptionalInt;
import java.util.Set;

/**
 * The declaration of an organisation.
 *
 * @param id name of the organisation
 * @param apiKeys keys of its callers; at least one
 * @param priority priority of its requests, which takes precedence over the route's; empty if the
 *     route's applies
 * @param quota limit on its requests
 */
public record Organisation(
    OrganisationId id, Set<ApiKey> apiKeys, OptionalInt priority, Quota quota) {
  /** Creates an organisation with a copy of its keys. */
  public Organisation {
    apiKeys = Set.copyOf(apiKeys);
    if (apiKeys.isEmpty()) {
      throw new IllegalArgumentException("organisation has no valid key");
    }
  }
}
