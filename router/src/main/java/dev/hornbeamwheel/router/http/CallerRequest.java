package dev.hornbeamwheel.router.http;

import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.IdempotencyKey;
import dev.hornbeamwheel.core.model.Key;
import dev.hornbeamwheel.core.model.RequestId;
import java.util.Optional;

/**
 * A checked request of a caller, without its body.
 *
 * @param id unique in the fleet
 * @param shownId what the caller knows the request by: the id that it gave, or else {@code id}
 * @param contract the contract that the token belongs to
 * @param service the service
 * @param key the key; present for each keyed service
 * @param method HTTP method
 * @param target path and query towards the upstream, starting with a slash
 * @param idempotent whether the request may run more than once
 * @param idempotencyKey present for each request that is not idempotent
 * @param timeoutMillis time that the caller gives it, from one
 */
public record CallerRequest(
    RequestId id,
    String shownId,
    ContractId contract,
    Service service,
    Optional<Key> key,
    String method,
    String target,
    boolean idempotent,
    Optional<IdempotencyKey> idempotencyKey,
    long timeoutMillis) {}
