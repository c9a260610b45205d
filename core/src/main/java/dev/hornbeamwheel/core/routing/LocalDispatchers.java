package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.dispatch.DispatchMessage;
import dev.hornbeamwheel.core.dispatch.DispatchPolicy;
import dev.hornbeamwheel.core.dispatch.Dispatcher;
import dev.hornbeamwheel.core.dispatch.SlotPoolId;
import dev.hornbeamwheel.core.model.MemberId;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.codec.digest.MurmurHash3;

/** The dispatchers that run in this router, one per slot pool. */
final class LocalDispatchers {
  /** Number of low bits of a lease id that count the leases of one dispatcher. */
  private static final int LEASE_ID_BITS = 32;

  private final RoutingContext context;
  private final DispatchPolicy policy;
  private final Map<SlotPoolId, Dispatcher> dispatchers = new LinkedHashMap<>();

  LocalDispatchers(RoutingContext context, DispatchPolicy policy) {
    this.context = context;
    this.policy = policy;
  }

  /** Handles a message from a router; ignores it if the pool is in another data centre. */
  void receive(long nowMillis, MemberId from, SlotPoolId key, DispatchMessage message) {
    if (!key.dataCentre().equals(context.settings().dataCentre())) {
      return;
    }
    Dispatcher dispatcher = dispatchers.get(key);
    if (dispatcher == null) {
      dispatcher = Dispatcher.create(key, policy, firstLeaseId(key), nowMillis, context::send);
      dispatchers.put(key, dispatcher);
      configureDispatcher(key, dispatcher);
    }
    dispatcher.receive(nowMillis, from, message);
  }

  /** Applies the current upstreams and routers to every dispatcher. */
  void configure() {
    dispatchers.forEach(this::configureDispatcher);
  }

  void onUpstreamRestarted(RoutingEvent.UpstreamRestarted restarted) {
    dispatchers
        .values()
        .forEach(
            d ->
                d.observeIncarnation(
                    restarted.atMillis(), restarted.upstream(), restarted.incarnation()));
  }

  void tick(long nowMillis) {
    dispatchers.values().forEach(dispatcher -> dispatcher.tick(nowMillis));
  }

  /** Hands over each pool to the router that is elected as its next dispatcher. */
  void handOver() {
    dispatchers.forEach(
        (key, dispatcher) -> {
          MemberId successor = context.topology().successor(key);
          if (successor != null) {
            context.send(successor, dispatcher.handOver());
          }
        });
  }

  private void configureDispatcher(SlotPoolId key, Dispatcher dispatcher) {
    Service service = context.topology().service(key.service());
    if (service != null) {
      dispatcher.configure(
          service.coldStart(),
          context.topology().pool(key),
          context.topology().recentRouterCount(key.dataCentre()));
    }
  }

  private long firstLeaseId(SlotPoolId key) {
    String text =
        context.settings().self()
            + "/"
            + context.settings().incarnation().value()
            + "/"
            + key.service();
    long hash = MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    return ((hash & Integer.MAX_VALUE) << LEASE_ID_BITS) + 1;
  }
}
