package dev.hornbeamwheel.router.flow;

import dev.hornbeamwheel.core.routing.RoutingEvent;
import java.util.function.LongFunction;

/** Takes events of the routing concern from any thread. */
@FunctionalInterface
public interface RoutingInbox {
  /** Hands over an event, which is stamped with the time at which it is taken up. */
  void post(LongFunction<RoutingEvent> event);
}
