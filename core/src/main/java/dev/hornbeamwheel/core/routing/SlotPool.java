package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.dispatch.DispatchMessage;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.HeldLease;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.SlotLease;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.SlotRequest;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.SlotReturn;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.UseResult;
import dev.hornbeamwheel.core.dispatch.Dispatcher;
import dev.hornbeamwheel.core.dispatch.SlotPoolId;
import dev.hornbeamwheel.core.dispatch.WarmUpState;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** This router's share of the slots of one pool: its waiting requests and the leases it holds. */
final class SlotPool {
  /** Time for which an idle lease is kept for the next request. */
  private static final long IDLE_MILLIS = 20;

  /** Time after which an unanswered request for a slot is sent again. */
  private static final long RESEND_MILLIS = 100;

  /** Finished leases remembered, so that a doubled grant is not taken for a new one. */
  private static final int MAX_FINISHED = 100_000;

  /** Starts requests on slots. */
  interface Starter {
    /** Starts a request; returns false, with the slot unused, if it may not run there. */
    boolean start(long nowMillis, RequestState request, HeldSlot slot);
  }

  private final SlotPoolId key;
  private final RoutingContext context;
  private final Starter starter;
  private final DispatcherLink link;
  private final Map<RequestId, RequestState> waiting = new LinkedHashMap<>();
  private final Map<Long, HeldSlot> held = new LinkedHashMap<>();
  private final Set<Long> finishedLeases = new HashSet<>();

  SlotPool(SlotPoolId key, RoutingContext context, Starter starter, long nowMillis) {
    this.key = key;
    this.context = context;
    this.starter = starter;
    this.link = new DispatcherLink(key, context, nowMillis);
  }

  /** Starts a request on a slot that is at hand, or lets it wait for one. */
  void acquire(long nowMillis, RequestState request) {
    HeldSlot idle = idleFor(nowMillis, request);
    if (idle != null && startOn(nowMillis, request, idle)) {
      return;
    }
    request.pool = this;
    waiting.put(request.nextTicket(nowMillis), request);
    if (link.lost(nowMillis)) {
      pumpWithoutDispatcher(nowMillis);
    } else {
      ask(nowMillis, request);
    }
  }

  /** Stops waiting for a slot. */
  void withdraw(RequestState request) {
    request.pool = null;
    if (waiting.remove(request.ticket) != null) {
      link.send(
          new DispatchMessage.SlotRequestWithdrawn(
              key.service(), key.dataCentre(), request.ticket));
    }
  }

  /** Takes the message of a dispatcher in. */
  void receive(long nowMillis, MemberId from, Incarnation incarnation, DispatchMessage message) {
    if (!link.speaksFor(from, incarnation)) {
      return;
    }
    if (message instanceof SlotLease lease) {
      leased(nowMillis, lease);
    } else if (message instanceof DispatchMessage.Recall recall) {
      recall.leaseIds().forEach(this::recalled);
    } else if (message instanceof DispatchMessage.LeaseHeartbeatAck ack) {
      context.views().merge(nowMillis, ack.warmUpStates());
      link.acknowledged(ack);
    }
  }

  /** Returns the waiting request that a dispatcher refused; null if it waits no longer. */
  RequestState refused(RequestId ticket) {
    return waiting.remove(ticket);
  }

  /** Frees a slot after the request on it has ended. */
  void finished(long nowMillis, HeldSlot slot, UseResult result, long runMillis, long incarnation) {
    slot.busy = false;
    slot.idleSinceMillis = nowMillis;
    boolean good = result == UseResult.COMPLETED || result == UseResult.ABANDONED;
    boolean mine = held.get(slot.leaseId) == slot;
    boolean again = mine && good && reusable(nowMillis, slot);
    if (again && next(nowMillis, slot)) {
      return;
    }
    if (!again && mine) {
      giveBack(slot, result, runMillis, incarnation);
    }
    if (link.lost(nowMillis)) {
      pumpWithoutDispatcher(nowMillis);
    }
  }

  void tick(long nowMillis) {
    if (link.refresh(nowMillis)) {
      dispatcherChanged(nowMillis);
    }
    List.copyOf(held.values()).stream()
        .filter(slot -> !slot.busy && idleTooLong(nowMillis, slot))
        .forEach(slot -> giveBack(slot, UseResult.UNUSED, 0, 0));
    if (link.reportDue(nowMillis, !waiting.isEmpty() || !held.isEmpty())) {
      link.report(nowMillis, heldLeases(nowMillis), news(nowMillis));
    }
    if (link.lost(nowMillis)) {
      pumpWithoutDispatcher(nowMillis);
    } else {
      askAgain(nowMillis);
    }
  }

  /** Gives every idle lease back, because this router takes no new work. */
  void stop() {
    List.copyOf(held.values()).stream()
        .filter(slot -> !slot.busy)
        .forEach(slot -> giveBack(slot, UseResult.UNUSED, 0, 0));
    held.values().forEach(slot -> slot.reusable = false);
  }

  int waiting() {
    return waiting.size();
  }

  private HeldSlot idleFor(long nowMillis, RequestState request) {
    if (context.suspect(request) || held.isEmpty() || !waiting.isEmpty()) {
      return null;
    }
    for (HeldSlot slot : held.values()) {
      if (!slot.busy && reusable(nowMillis, slot) && fits(request, slot.upstream)) {
        return slot;
      }
    }
    return null;
  }

  private void ask(long nowMillis, RequestState request) {
    if (link.firstContact()) {
      link.report(nowMillis, heldLeases(nowMillis), news(nowMillis));
    }
    request.ticketAtMillis = nowMillis;
    link.send(
        new SlotRequest(
            key.service(),
            key.dataCentre(),
            request.ticket,
            request.target,
            request.avoid,
            context.suspect(request) ? request.arrival.fingerprint() : 0,
            nowMillis - request.arrival.atMillis(),
            request.deadlineMillis() - nowMillis));
  }

  private void askAgain(long nowMillis) {
    for (RequestState request : waiting.values()) {
      if (nowMillis - request.ticketAtMillis >= RESEND_MILLIS) {
        ask(nowMillis, request);
      }
    }
  }

  private void leased(long nowMillis, SlotLease lease) {
    context.views().of(lease.upstream()).merge(nowMillis, lease.warmUpState());
    if (held.containsKey(lease.leaseId()) || finishedLeases.contains(lease.leaseId())) {
      return;
    }
    HeldSlot slot =
        new HeldSlot(
            this,
            lease.leaseId(),
            lease.upstream(),
            nowMillis + lease.durationMillis(),
            lease.reusable());
    held.put(slot.leaseId, slot);
    RequestState named = waiting.get(lease.requestId());
    if (named != null && context.suspect(named)) {
      if (startOn(nowMillis, named, slot)) {
        return;
      }
    } else if (next(nowMillis, slot)) {
      return;
    }
    slot.idleSinceMillis = nowMillis;
    if (!slot.reusable) {
      giveBack(slot, UseResult.UNUSED, 0, 0);
    }
  }

  private void recalled(long leaseId) {
    HeldSlot slot = held.get(leaseId);
    if (slot == null) {
      return;
    }
    slot.reusable = false;
    if (!slot.busy) {
      giveBack(slot, UseResult.UNUSED, 0, 0);
    }
  }

  /** Starts the request that has waited longest and may run on a slot. */
  private boolean next(long nowMillis, HeldSlot slot) {
    for (int tries = waiting.size(); tries > 0; tries--) {
      RequestState oldest = oldestFor(slot);
      if (oldest == null) {
        return false;
      }
      if (startOn(nowMillis, oldest, slot)) {
        return true;
      }
    }
    return false;
  }

  private RequestState oldestFor(HeldSlot slot) {
    for (RequestState request : waiting.values()) {
      if (fits(request, slot.upstream) && !context.suspect(request)) {
        return request;
      }
    }
    return null;
  }

  private boolean startOn(long nowMillis, RequestState request, HeldSlot slot) {
    RequestId ticket = request.ticket;
    if (ticket != null) {
      waiting.remove(ticket, request);
    }
    request.pool = null;
    slot.busy = true;
    slot.busySinceMillis = nowMillis;
    if (starter.start(nowMillis, request, slot)) {
      return true;
    }
    slot.busy = false;
    return false;
  }

  private void pumpWithoutDispatcher(long nowMillis) {
    List<Upstream> pool = context.topology().pool(key);
    for (RequestState request : new ArrayList<>(waiting.values())) {
      if (context.suspect(request)) {
        continue;
      }
      Upstream chosen = context.fallback().choose(nowMillis, request, pool);
      if (chosen != null) {
        HeldSlot slot = new HeldSlot(this, HeldSlot.NO_LEASE, chosen.id(), Long.MAX_VALUE, false);
        startOn(nowMillis, request, slot);
      }
    }
  }

  private void dispatcherChanged(long nowMillis) {
    held.values().removeIf(slot -> !slot.busy);
    held.values().forEach(slot -> slot.reusable = false);
    if (!waiting.isEmpty() && !link.lost(nowMillis)) {
      waiting.values().forEach(request -> ask(nowMillis, request));
    }
  }

  private void giveBack(HeldSlot slot, UseResult result, long runMillis, long incarnation) {
    held.remove(slot.leaseId);
    finishedLeases.add(slot.leaseId);
    if (finishedLeases.size() > MAX_FINISHED) {
      finishedLeases.clear();
    }
    link.send(
        new SlotReturn(
            key.service(),
            key.dataCentre(),
            slot.leaseId,
            slot.upstream,
            result,
            runMillis,
            incarnation));
  }

  private boolean reusable(long nowMillis, HeldSlot slot) {
    boolean renewed = !link.lost(nowMillis) || nowMillis < slot.usableUntilMillis;
    return slot.reusable && renewed && context.takesWork(slot.upstream);
  }

  private boolean idleTooLong(long nowMillis, HeldSlot slot) {
    return nowMillis - slot.idleSinceMillis >= IDLE_MILLIS || !reusable(nowMillis, slot);
  }

  private boolean fits(RequestState request, UpstreamId upstream) {
    return request.target == null
        ? !request.avoid.contains(upstream)
        : request.target.equals(upstream);
  }

  private List<HeldLease> heldLeases(long nowMillis) {
    return held.values().stream()
        .map(
            slot ->
                new HeldLease(
                    slot.leaseId,
                    slot.upstream,
                    slot.busy ? nowMillis - slot.busySinceMillis : 0,
                    slot.busy))
        .toList();
  }

  private List<WarmUpState> news(long nowMillis) {
    long since = link.firstContact() ? Long.MIN_VALUE : nowMillis - Dispatcher.LEASE_MILLIS;
    return context
        .views()
        .temperatures(context.topology().pool(key), view -> view.changedAtMillis() >= since);
  }
}
