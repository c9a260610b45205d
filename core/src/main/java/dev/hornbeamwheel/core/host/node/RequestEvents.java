package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.request.RequestEffect;
import dev.hornbeamwheel.core.host.request.RequestFlow;
import java.util.List;
import java.util.Optional;

/** Passes the events that concern callers' requests only to their flow. */
final class RequestEvents {
  private RequestEvents() {}

  /** Returns the effects of an event, or empty if it does not concern requests only. */
  static Optional<List<RequestEffect>> apply(long nowMillis, RequestFlow flow, HostEvent event) {
    if (event instanceof HostEvent.RequestArrived arrived) {
      return Optional.of(flow.requestArrived(nowMillis, arrived.request(), arrived.head()));
    } else if (event instanceof HostEvent.AttemptEnded ended) {
      return Optional.of(flow.attemptEnded(nowMillis, ended.request(), ended.result()));
    } else if (event instanceof HostEvent.CallerDisconnected disconnected) {
      return Optional.of(flow.callerDisconnected(nowMillis, disconnected.request()));
    } else if (event instanceof HostEvent.UpstreamChecked checked) {
      return Optional.of(flow.upstreamChecked(nowMillis, checked.upstream(), checked.result()));
    } else if (event instanceof HostEvent.UpstreamLeaving leaving) {
      return Optional.of(flow.upstreamLeaving(leaving.upstream()));
    } else if (event instanceof HostEvent.QuarantineLifted lifted) {
      return Optional.of(flow.quarantineLifted(nowMillis, lifted.fingerprint()));
    }
    return Optional.empty();
  }
}
