package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.keys.KeyEffect;
import dev.hornbeamwheel.core.host.keys.OrderResult;
import dev.hornbeamwheel.core.host.keys.TableReadResult;
import dev.hornbeamwheel.core.host.keys.TableWriteResult;
import java.util.Optional;
import java.util.function.LongFunction;

/** Upstreams that carry out all orders for keys, and a store that serves the key table. */
final class SimulatedKeys {
  private SimulatedKeys() {}

  /**
   * Returns the event that ends an effect, created with the time of its delivery; empty if none.
   */
  static Optional<LongFunction<HostEvent>> respond(HostEffect.Keys keys, SimulatedStore store) {
    if (keys.effect() instanceof KeyEffect.ReadTable) {
      TableReadResult result = store.readKeyTable();
      return Optional.of(
          now -> new HostEvent.TableReadEnded(now, keys.term(), keys.service(), result));
    } else if (keys.effect() instanceof KeyEffect.WriteTable write) {
      TableWriteResult result = store.writeKeyTable(write);
      return Optional.of(
          now -> new HostEvent.TableWriteEnded(now, keys.term(), keys.service(), result));
    } else if (keys.effect() instanceof KeyEffect.Grant grant) {
      return Optional.of(orderDone(keys, grant.orderId()));
    } else if (keys.effect() instanceof KeyEffect.Release release) {
      return Optional.of(orderDone(keys, release.orderId()));
    }
    return Optional.empty();
  }

  private static LongFunction<HostEvent> orderDone(HostEffect.Keys keys, long orderId) {
    OrderResult done = new OrderResult.Done(Optional.empty());
    return now -> new HostEvent.OrderEnded(now, keys.term(), keys.service(), orderId, done);
  }
}
