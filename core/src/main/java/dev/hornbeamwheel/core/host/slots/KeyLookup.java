package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.host.keys.KeyLoad;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Optional;

/** Looks up the owners of keys. */
public interface KeyLookup {
  /** Returns the upstream that currently holds a key, or empty if none does. */
  Optional<UpstreamId> holder(long nowMillis, ServiceId service, int key);

  /** Returns the current or next holder of a key, or empty if the key table is not loaded. */
  Optional<UpstreamId> owner(ServiceId service, int key);

  /** Returns how the requests for a key relate to what its owner can serve. */
  default KeyLoad load(ServiceId service, int key) {
    return KeyLoad.NORMAL;
  }

  /** Returns the fencing token of a key's owner, or zero if unknown. */
  long fencingToken(ServiceId service, int key);

  /**
   * Returns the time at which a key is expected to have a holder; not later than {@code nowMillis}
   * if it has one.
   */
  long readyMillis(long nowMillis, ServiceId service, int key);
}
