package dev.hornbeamwheel.router.admission;

import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.node.NodeEffect;

/** Something that the router process has to do. */
public sealed interface RouterEffect {
  /** An effect of a concern. */
  record Node(NodeEffect effect) implements RouterEffect {}

  /**
   * Refuses a request as not run, since its contract's limit is reached.
   *
   * @param retryAfterMillis time after which a retry may succeed
   */
  record LimitReached(RequestId requestId, long retryAfterMillis) implements RouterEffect {}
}
