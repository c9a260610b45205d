package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.IdempotencyKey;
import dev.hornbeamwheel.core.model.RequestId;

/**
 * A claim as stored by one voter and as transferred to the voters of the next term.
 *
 * @param contract contract of the caller; keys of different contracts are independent
 * @param key the idempotency key
 * @param fingerprint hash of the request, to detect a key that is reused for a different request
 * @param holder the request that claimed the key
 * @param round round of the claim, from one
 * @param state the known state of the request
 * @param status status of the response; zero unless the state is COMPLETED
 * @param ageMillis time since the claim was first recorded
 */
public record ClaimRecord(
    ContractId contract,
    IdempotencyKey key,
    long fingerprint,
    RequestId holder,
    int round,
    ClaimState state,
    int status,
    long ageMillis) {}
