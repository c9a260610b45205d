package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.IdempotencyKey;
import dev.hornbeamwheel.core.model.RequestId;

/**
 * A claim as one voter remembers it, and as it is handed over to the next voters.
 *
 * @param contract contract of the caller; idempotency keys of different contracts are different
 * @param key the idempotency key
 * @param fingerprint hash of the request, so that a key reused for another request shows
 * @param holder the request that claimed the key
 * @param round round of the claim, from one
 * @param state what is known of the request
 * @param status status that was answered; zero unless the state is COMPLETED
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
