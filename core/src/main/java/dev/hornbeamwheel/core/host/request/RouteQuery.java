package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.model.OrganisationId;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * The parts of a request by which its routing is explained in advance.
 *
 * @param host value of the Host header
 * @param path request path without the query
 * @param key the shard key, or empty if the request has none
 * @param organisation organisation of the caller, or empty for a caller without a valid API key
 */
public record RouteQuery(
    String host, String path, OptionalInt key, Optional<OrganisationId> organisation) {}
