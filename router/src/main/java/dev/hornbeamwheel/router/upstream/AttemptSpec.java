package dev.hornbeamwheel.router.upstream;

import dev.hornbeamwheel.core.model.IdempotencyKey;
import dev.hornbeamwheel.core.model.Key;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.Slice;
import java.util.Optional;
import okhttp3.Headers;
import okio.ByteString;

/**
 * One attempt at an upstream.
 *
 * @param requestId the request; the upstream echoes it
 * @param address IP number and port of the upstream
 * @param method HTTP method
 * @param target path and query, starting with a slash
 * @param headers end-to-end headers of the caller
 * @param body the whole body; empty if there is none
 * @param key the key; empty for a pooled service
 * @param slice the slice that the key belongs to; zero for a pooled service
 * @param epoch epoch of the slice; zero for a pooled service
 * @param idempotencyKey the caller's idempotency key
 * @param timeoutMillis time left until the deadline, in milliseconds
 * @param resumeOffset body offset to resume at; zero for the whole answer
 * @param validator validator that a resumed answer must carry; empty unless it resumes
 */
public record AttemptSpec(
    RequestId requestId,
    String address,
    String method,
    String target,
    Headers headers,
    ByteString body,
    Optional<Key> key,
    Slice slice,
    long epoch,
    Optional<IdempotencyKey> idempotencyKey,
    long timeoutMillis,
    long resumeOffset,
    Optional<String> validator) {}
