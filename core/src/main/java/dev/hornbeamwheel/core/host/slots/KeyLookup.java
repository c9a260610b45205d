package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Optional;

/** Finds the owners of keys. */
public interface KeyLookup {
  /** Returns the upstream that holds a key, or empty while none does. */
  Optional<UpstreamId> holder(long nowMillis, ServiceId service, int key);

  /** Returns the upstream that holds a key or is to hold it next; empty if no table is known. */
  Optional<UpstreamId> owner(ServiceId service, int key);

  /** Returns the fencing token of the owner; zero if unknown. */
  long fencingToken(ServiceId service, int key);

  /** Returns when the key will probably have a holder; now or earlier if it has one. */
  long readyMillis(long nowMillis, ServiceId service, int key);
}
