package dev.hornbeamwheel.runtime.member;

import dev.hornbeamwheel.core.node.NodeEvent;
import java.util.function.LongFunction;

/** Takes events of a member from any thread. */
@FunctionalInterface
public interface NodeInbox {
  /** Hands over an event, which is stamped with the time at which it is taken up. */
  void post(LongFunction<NodeEvent> event);
}
