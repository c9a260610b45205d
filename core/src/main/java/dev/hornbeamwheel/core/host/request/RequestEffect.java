package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.OptionalInt;
import java.util.Set;

/** What the path of requests asks for. */
public sealed interface RequestEffect {
  /**
   * Send the request to an upstream.
   *
   * @param leftMillis time until its deadline, in milliseconds
   * @param byCoordinator whether the coordinator chose the upstream, and not this host
   */
  record Send(
      RequestRef request,
      UpstreamRegistration upstream,
      long leftMillis,
      boolean repeatable,
      boolean byCoordinator)
      implements RequestEffect {}

  /** End the attempt that is running; the connection to the upstream is closed. */
  record Abort(RequestRef request) implements RequestEffect {}

  /** Deliver the upstream's answer to the caller. */
  record PassOn(RequestRef request) implements RequestEffect {}

  /**
   * Answer the caller.
   *
   * @param retryAfterMillis when to come back, in milliseconds; zero if that is not known
   * @param byCoordinator whether the coordinator decided or chose last, and not this host
   */
  record Answer(RequestRef request, OwnAnswer answer, long retryAfterMillis, boolean byCoordinator)
      implements RequestEffect {}

  /** Forget a request whose caller has left; nothing further is asked for it. */
  record Forget(RequestRef request) implements RequestEffect {}

  /**
   * Ask the coordinator for a slot.
   *
   * @param ask number of the ask
   * @param deadlineMillis time until the request's deadline, in milliseconds
   * @param targetMillis time until the latency target, in milliseconds; zero if it has passed
   */
  record AskSlot(
      long ask,
      ServiceId service,
      OptionalInt key,
      int priority,
      long deadlineMillis,
      long targetMillis,
      boolean large,
      Set<UpstreamId> avoid)
      implements RequestEffect {}

  /** Tell the coordinator that an ask is void. */
  record CancelAsk(long ask) implements RequestEffect {}

  /** Tell the coordinator that a slot is free again. */
  record FreeSlot(
      long ask, UpstreamId upstream, Completion completion, long ranMillis, int workPercent)
      implements RequestEffect {}

  /** Tell a new coordinator of a request that holds a slot. */
  record HoldSlot(long ask, ServiceId service, OptionalInt key, UpstreamId upstream)
      implements RequestEffect {}

  /** Write a log line. */
  record Log(LogEntry entry) implements RequestEffect {}
}
