package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.dispatch.DispatchMessage;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.HeldLease;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.LeaseHeartbeat;
import dev.hornbeamwheel.core.dispatch.SlotPoolId;
import dev.hornbeamwheel.core.dispatch.WarmUpState;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.List;
import java.util.Objects;

/** Tracks this router's exchange with the dispatcher of one slot pool. */
final class DispatcherLink {
  /** Interval between reports while this router has work or an upstream is cold. */
  static final long REPORT_INTERVAL_MILLIS = 100;

  /** Interval between reports while this router is idle and every upstream is warm. */
  private static final long IDLE_REPORT_INTERVAL_MILLIS = 1_000;

  /** Time that a report may stay unacknowledged before the dispatcher is unavailable. */
  static final long DISPATCHER_TIMEOUT_MILLIS = 150;

  /** Time after the start or the last report to one dispatcher before another is backed. */
  static final long BACKING_SWITCH_DELAY_MILLIS = 600;

  private final SlotPoolId key;
  private final RoutingContext context;
  private MemberId dispatcher;
  private long mayBackAfterMillis;
  private long reportedAtMillis = Long.MIN_VALUE / 2;
  private long unansweredSinceMillis = -1;
  private long lastAckMillis;
  private Incarnation dispatcherIncarnation;

  DispatcherLink(SlotPoolId key, RoutingContext context, long nowMillis) {
    this.key = key;
    this.context = context;
    this.dispatcher = context.topology().dispatcher(key);
    this.mayBackAfterMillis =
        Math.max(nowMillis, context.startedAtMillis() + BACKING_SWITCH_DELAY_MILLIS);
  }

  /** Looks up the elected dispatcher and returns whether it has changed. */
  boolean refresh(long nowMillis) {
    MemberId elected = context.topology().dispatcher(key);
    if (Objects.equals(elected, dispatcher)) {
      return false;
    }
    dispatcher = elected;
    mayBackAfterMillis =
        Math.max(mayBackAfterMillis, reportedAtMillis + BACKING_SWITCH_DELAY_MILLIS);
    unansweredSinceMillis = -1;
    reportedAtMillis = Math.min(reportedAtMillis, nowMillis - IDLE_REPORT_INTERVAL_MILLIS);
    lastAckMillis = 0;
    return true;
  }

  /** Returns whether requests must be routed without the dispatcher. */
  boolean unavailable(long nowMillis) {
    return dispatcher == null
        || (unansweredSinceMillis >= 0
            && nowMillis - unansweredSinceMillis > DISPATCHER_TIMEOUT_MILLIS);
  }

  /** Returns whether the current dispatcher has yet to acknowledge a report. */
  boolean awaitsFirstAck() {
    return lastAckMillis == 0;
  }

  boolean reportDue(long nowMillis, boolean busy) {
    boolean reportOften = busy || context.views().anyCold(context.topology().pool(key));
    return nowMillis - reportedAtMillis
        >= (reportOften ? REPORT_INTERVAL_MILLIS : IDLE_REPORT_INTERVAL_MILLIS);
  }

  void report(long nowMillis, List<HeldLease> leases, List<WarmUpState> warmUpStates) {
    if (dispatcher == null) {
      return;
    }
    reportedAtMillis = nowMillis;
    if (unansweredSinceMillis < 0) {
      unansweredSinceMillis = nowMillis;
    }
    send(
        new LeaseHeartbeat(
            key.service(),
            key.dataCentre(),
            nowMillis,
            lastAckMillis,
            backsDispatcher(nowMillis),
            leases,
            warmUpStates));
  }

  /**
   * Returns whether a message comes from the current dispatcher.
   *
   * <p>A new incarnation resets the acknowledgement, since a restarted dispatcher has no state.
   */
  boolean acceptsFrom(MemberId from, Incarnation incarnation) {
    if (!from.equals(dispatcher)) {
      return false;
    }
    if (!incarnation.equals(dispatcherIncarnation)) {
      dispatcherIncarnation = incarnation;
      lastAckMillis = 0;
    }
    return true;
  }

  private boolean backsDispatcher(long nowMillis) {
    return nowMillis >= mayBackAfterMillis
        && key.dataCentre().equals(context.settings().dataCentre());
  }

  void acknowledged(DispatchMessage.LeaseHeartbeatAck ack) {
    if (ack.heartbeatSentAtMillis() >= unansweredSinceMillis) {
      unansweredSinceMillis = -1;
    }
    lastAckMillis = Math.max(lastAckMillis, ack.dispatcherMillis());
  }

  void send(DispatchMessage message) {
    if (dispatcher != null) {
      context.send(dispatcher, message);
    }
  }
}
