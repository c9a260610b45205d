package dev.hornbeamwheel.core.dispatch;

import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RequestId;

/**
 * A granted lease that has been neither returned nor expired.
 *
 * <p>The request id is null, and the fingerprint zero, for a lease adopted from a heartbeat.
 */
final class Lease {
  final long id;
  final MemberId holder;
  final RequestId requestId;
  final long suspectFingerprint;
  final boolean reusable;
  long busySinceMillis;
  long renewedAtMillis;
  boolean recalled;

  Lease(
      long id,
      MemberId holder,
      RequestId requestId,
      long suspectFingerprint,
      boolean reusable,
      long nowMillis) {
    this.id = id;
    this.holder = holder;
    this.requestId = requestId;
    this.suspectFingerprint = suspectFingerprint;
    this.reusable = reusable;
    this.busySinceMillis = nowMillis;
    this.renewedAtMillis = nowMillis;
  }
}
