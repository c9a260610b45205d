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

/** The pools that this router dispatches. */
final class DispatcherRoles {
  /** Lease ids that one dispatcher may draw. */
  private static final int LEASE_ID_BITS = 32;

  private final RoutingContext context;
  private final DispatchPolicy policy;
  private final Map<SlotPoolId, Dispatcher> dispatchers = new LinkedHashMap<>();

  DispatcherRoles(RoutingContext context, DispatchPolicy policy) {
    this.context = context;
    this.policy = policy;
  }

  /** Takes a message of a router in; a pool of another data centre is not dispatched here. */
  void receive(long nowMillis, MemberId from, SlotPoolId key, DispatchMessage message) {
    if (!key.dataCentre().equals(context.settings().dataCentre())) {
      return;
    }
    Dispatcher dispatcher = dispatchers.get(key);
    if (dispatcher == null) {
      dispatcher = Dispatcher.create(key, policy, leaseIdBase(key), nowMillis, context::send);
      dispatchers.put(key, dispatcher);
      configureOne(key, dispatcher);
    }
    dispatcher.receive(nowMillis, from, message);
  }

  /** Takes the upstreams and routers in force over. */
  void configure() {
    dispatchers.forEach(this::configureOne);
  }

  void restarted(RoutingEvent.UpstreamRestarted restarted) {
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

  /** Hands every pool over to the router that dispatches it next. */
  void handOver() {
    dispatchers.forEach(
        (key, dispatcher) -> {
          MemberId successor = context.topology().successor(key);
          if (successor != null) {
            context.send(successor, dispatcher.handOver());
          }
        });
  }

  private void configureOne(SlotPoolId key, Dispatcher dispatcher) {
    Service service = context.topology().service(key.service());
    if (service != null) {
      dispatcher.configure(
          service.coldStart(),
          context.topology().pool(key),
          context.topology().electorate(key.dataCentre()));
    }
  }

  private long leaseIdBase(SlotPoolId key) {
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
