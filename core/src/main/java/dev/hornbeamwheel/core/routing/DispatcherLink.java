package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.dispatch.DispatchMessage;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.HeldLease;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.Holding;
import dev.hornbeamwheel.core.dispatch.SlotKey;
import dev.hornbeamwheel.core.dispatch.Temperature;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.List;
import java.util.Objects;

/** This router's relation to the dispatcher of one pool. */
final class DispatcherLink {
  /** Time between two reports while there is work or an upstream is cold. */
  static final long REPORT_INTERVAL_MILLIS = 100;

  /** Time between two reports otherwise. */
  private static final long IDLE_REPORT_INTERVAL_MILLIS = 1_000;

  /** Time after an unanswered report at which the dispatcher counts as lost. */
  static final long DISPATCHER_TIMEOUT_MILLIS = 150;

  /** Time after the last backing of one dispatcher before another may be backed. */
  static final long BACKING_SWITCH_DELAY_MILLIS = 600;

  private final SlotKey key;
  private final RoutingContext context;
  private MemberId dispatcher;
  private long backAfterMillis;
  private long reportedAtMillis = Long.MIN_VALUE / 2;
  private long unansweredSinceMillis = -1;
  private long lastAckMillis;
  private Incarnation dispatcherIncarnation;

  DispatcherLink(SlotKey key, RoutingContext context, long nowMillis) {
    this.key = key;
    this.context = context;
    this.dispatcher = context.topology().dispatcher(key);
    this.backAfterMillis =
        Math.max(nowMillis, context.startedAtMillis() + BACKING_SWITCH_DELAY_MILLIS);
  }

  /** Looks the dispatcher up anew and returns whether it has changed. */
  boolean refresh(long nowMillis) {
    MemberId elected = context.topology().dispatcher(key);
    if (Objects.equals(elected, dispatcher)) {
      return false;
    }
    dispatcher = elected;
    backAfterMillis = Math.max(backAfterMillis, reportedAtMillis + BACKING_SWITCH_DELAY_MILLIS);
    unansweredSinceMillis = -1;
    reportedAtMillis = Math.min(reportedAtMillis, nowMillis - IDLE_REPORT_INTERVAL_MILLIS);
    lastAckMillis = 0;
    return true;
  }

  /** Returns whether requests have to be sent without the dispatcher. */
  boolean unavailable(long nowMillis) {
    return dispatcher == null
        || (unansweredSinceMillis >= 0
            && nowMillis - unansweredSinceMillis > DISPATCHER_TIMEOUT_MILLIS);
  }

  /** Returns whether the dispatcher has not acknowledged any report yet. */
  boolean awaitsFirstAck() {
    return lastAckMillis == 0;
  }

  boolean reportDue(long nowMillis, boolean busy) {
    boolean often = busy || context.views().anyCold(context.topology().pool(key));
    return nowMillis - reportedAtMillis
        >= (often ? REPORT_INTERVAL_MILLIS : IDLE_REPORT_INTERVAL_MILLIS);
  }

  void report(long nowMillis, List<HeldLease> leases, List<Temperature> temperatures) {
    if (dispatcher == null) {
      return;
    }
    reportedAtMillis = nowMillis;
    if (unansweredSinceMillis < 0) {
      unansweredSinceMillis = nowMillis;
    }
    send(
        new Holding(
            key.service(),
            key.dataCentre(),
            nowMillis,
            lastAckMillis,
            backs(nowMillis),
            leases,
            temperatures));
  }

  /** Returns whether a message comes from the dispatcher; a restarted one knows nothing yet. */
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

  private boolean backs(long nowMillis) {
    return nowMillis >= backAfterMillis && key.dataCentre().equals(context.settings().dataCentre());
  }

  void acknowledged(DispatchMessage.HoldingAck ack) {
    if (ack.stampMillis() >= unansweredSinceMillis) {
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
