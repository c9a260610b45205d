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

/** This router's relation to the dispatcher of one pool. */
final class DispatcherLink {
  /** Time between two reports while there is work or an upstream is cold. */
  static final long REPORT_MILLIS = 100;

  /** Time between two reports otherwise. */
  private static final long IDLE_REPORT_MILLIS = 1_000;

  /** Time after an unanswered report at which the dispatcher counts as lost. */
  static final long LOST_MILLIS = 150;

  /** Time after the last backing of one dispatcher before another may be backed. */
  static final long BACK_ANOTHER_MILLIS = 600;

  private final SlotPoolId key;
  private final RoutingContext context;
  private MemberId dispatcher;
  private long backAfterMillis;
  private long reportedAtMillis = Long.MIN_VALUE / 2;
  private long unansweredSinceMillis = -1;
  private long echoMillis;
  private Incarnation dispatcherIncarnation;

  DispatcherLink(SlotPoolId key, RoutingContext context, long nowMillis) {
    this.key = key;
    this.context = context;
    this.dispatcher = context.topology().dispatcher(key);
    this.backAfterMillis = Math.max(nowMillis, context.startedAtMillis() + BACK_ANOTHER_MILLIS);
  }

  /** Looks the dispatcher up anew and returns whether it has changed. */
  boolean refresh(long nowMillis) {
    MemberId elected = context.topology().dispatcher(key);
    if (Objects.equals(elected, dispatcher)) {
      return false;
    }
    dispatcher = elected;
    backAfterMillis = Math.max(backAfterMillis, reportedAtMillis + BACK_ANOTHER_MILLIS);
    unansweredSinceMillis = -1;
    reportedAtMillis = Math.min(reportedAtMillis, nowMillis - IDLE_REPORT_MILLIS);
    echoMillis = 0;
    return true;
  }

  /** Returns whether requests have to be sent without the dispatcher. */
  boolean lost(long nowMillis) {
    return dispatcher == null
        || (unansweredSinceMillis >= 0 && nowMillis - unansweredSinceMillis > LOST_MILLIS);
  }

  /** Returns whether the dispatcher has not acknowledged any report yet. */
  boolean firstContact() {
    return echoMillis == 0;
  }

  boolean reportDue(long nowMillis, boolean busy) {
    boolean often = busy || context.views().anyCold(context.topology().pool(key));
    return nowMillis - reportedAtMillis >= (often ? REPORT_MILLIS : IDLE_REPORT_MILLIS);
  }

  void report(long nowMillis, List<HeldLease> leases, List<WarmUpState> temperatures) {
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
            echoMillis,
            backs(nowMillis),
            leases,
            temperatures));
  }

  /** Returns whether a message comes from the dispatcher; a restarted one knows nothing yet. */
  boolean speaksFor(MemberId from, Incarnation incarnation) {
    if (!from.equals(dispatcher)) {
      return false;
    }
    if (!incarnation.equals(dispatcherIncarnation)) {
      dispatcherIncarnation = incarnation;
      echoMillis = 0;
    }
    return true;
  }

  private boolean backs(long nowMillis) {
    return nowMillis >= backAfterMillis && key.dataCentre().equals(context.settings().dataCentre());
  }

  void acknowledged(DispatchMessage.LeaseHeartbeatAck ack) {
    if (ack.heartbeatSentAtMillis() >= unansweredSinceMillis) {
      unansweredSinceMillis = -1;
    }
    echoMillis = Math.max(echoMillis, ack.dispatcherMillis());
  }

  void send(DispatchMessage message) {
    if (dispatcher != null) {
      context.send(dispatcher, message);
    }
  }
}
