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

/** Tracks this router's waiting requests and held leases in one slot pool. */
final class SlotPool {
  /** Time that an idle lease is kept for the next request. */
  private static final long IDLE_LEASE_TIMEOUT_MILLIS = 20;

  /** Delay before an unanswered slot request is resent. */
  private static final long RESEND_INTERVAL_MILLIS = 100;

  /** Maximum number of finished leases remembered to recognise duplicate grants. */
  private static final int MAX_FINISHED_LEASES = 100_000;

  /** Starts a request on a slot. */
  interface RequestStarter {
    /** Starts a request; returns false and leaves the slot unused if it may not run there. */
    boolean start(long nowMillis, RequestState request, HeldSlot slot);
  }

  private final SlotPoolId key;
  private final RoutingContext context;
  private final RequestStarter starter;
  private final DispatcherLink link;
  private final Map<RequestId, RequestState> waiting = new LinkedHashMap<>();
  private final Map<Long, HeldSlot> heldSlots = new LinkedHashMap<>();
  private final Set<Long> finishedLeases = new HashSet<>();

  SlotPool(SlotPoolId key, RoutingContext context, RequestStarter starter, long nowMillis) {
    this.key = key;
    this.context = context;
    this.starter = starter;
    this.link = new DispatcherLink(key, context, nowMillis);
  }

  /** Starts a request on an idle leased slot, or queues it until a slot is available. */
  void acquire(long nowMillis, RequestState request) {
    HeldSlot idle = findIdleSlot(nowMillis, request);
    if (idle != null && startOn(nowMillis, request, idle)) {
      return;
    }
    request.pool = this;
    waiting.put(request.nextSlotRequestId(nowMillis), request);
    if (link.unavailable(nowMillis)) {
      startWithoutDispatcher(nowMillis);
    } else {
      sendSlotRequest(nowMillis, request);
    }
  }

  /** Removes a request from the queue and withdraws its slot request. */
  void withdraw(RequestState request) {
    request.pool = null;
    if (waiting.remove(request.slotRequestId) != null) {
      link.send(
          new DispatchMessage.SlotRequestWithdrawn(
              key.service(), key.dataCentre(), request.slotRequestId));
    }
  }

  /** Handles a message; ignores it unless it comes from the current dispatcher. */
  void receive(long nowMillis, MemberId from, Incarnation incarnation, DispatchMessage message) {
    if (!link.acceptsFrom(from, incarnation)) {
      return;
    }
    if (message instanceof SlotLease lease) {
      onLeaseGranted(nowMillis, lease);
    } else if (message instanceof DispatchMessage.Recall recall) {
      recall.leaseIds().forEach(this::onLeaseRecalled);
    } else if (message instanceof DispatchMessage.LeaseHeartbeatAck ack) {
      context.views().merge(nowMillis, ack.warmUpStates());
      link.acknowledged(ack);
    }
  }

  /** Removes and returns the request that the dispatcher refused; null if not waiting. */
  RequestState removeWaiting(RequestId slotRequestId) {
    return waiting.remove(slotRequestId);
  }

  /** Reuses or returns a slot after the request on it has ended. */
  void release(long nowMillis, HeldSlot slot, UseResult result, long runMillis, long incarnation) {
    slot.busy = false;
    slot.idleSinceMillis = nowMillis;
    boolean healthy = result == UseResult.COMPLETED || result == UseResult.ABANDONED;
    boolean stillHeld = heldSlots.get(slot.leaseId) == slot;
    boolean reuse = stillHeld && healthy && reusable(nowMillis, slot);
    if (reuse && startNextWaiting(nowMillis, slot)) {
      return;
    }
    if (!reuse && stillHeld) {
      returnSlot(slot, result, runMillis, incarnation);
    }
    if (link.unavailable(nowMillis)) {
      startWithoutDispatcher(nowMillis);
    }
  }

  void tick(long nowMillis) {
    if (link.refresh(nowMillis)) {
      dispatcherChanged(nowMillis);
    }
    List.copyOf(heldSlots.values()).stream()
        .filter(slot -> !slot.busy && shouldReturn(nowMillis, slot))
        .forEach(slot -> returnSlot(slot, UseResult.UNUSED, 0, 0));
    if (link.reportDue(nowMillis, !waiting.isEmpty() || !heldSlots.isEmpty())) {
      link.report(nowMillis, heldLeases(nowMillis), recentWarmUpStates(nowMillis));
    }
    if (link.unavailable(nowMillis)) {
      startWithoutDispatcher(nowMillis);
    } else {
      resendSlotRequests(nowMillis);
    }
  }

  /** Returns every idle lease, because this router is stopping and accepts no new work. */
  void stop() {
    List.copyOf(heldSlots.values()).stream()
        .filter(slot -> !slot.busy)
        .forEach(slot -> returnSlot(slot, UseResult.UNUSED, 0, 0));
    heldSlots.values().forEach(slot -> slot.reusable = false);
  }

  int waiting() {
    return waiting.size();
  }

  private HeldSlot findIdleSlot(long nowMillis, RequestState request) {
    if (context.isSuspect(request) || heldSlots.isEmpty() || !waiting.isEmpty()) {
      return null;
    }
    for (HeldSlot slot : heldSlots.values()) {
      if (!slot.busy && reusable(nowMillis, slot) && fits(request, slot.upstream)) {
        return slot;
      }
    }
    return null;
  }

  private void sendSlotRequest(long nowMillis, RequestState request) {
    if (link.awaitsFirstAck()) {
      link.report(nowMillis, heldLeases(nowMillis), recentWarmUpStates(nowMillis));
    }
    request.slotRequestedAtMillis = nowMillis;
    link.send(
        new SlotRequest(
            key.service(),
            key.dataCentre(),
            request.slotRequestId,
            request.owner,
            request.excludedUpstreams,
            context.isSuspect(request) ? request.arrival.fingerprint() : 0,
            nowMillis - request.arrival.atMillis(),
            request.deadlineMillis() - nowMillis));
  }

  private void resendSlotRequests(long nowMillis) {
    for (RequestState request : waiting.values()) {
      if (nowMillis - request.slotRequestedAtMillis >= RESEND_INTERVAL_MILLIS) {
        sendSlotRequest(nowMillis, request);
      }
    }
  }

  private void onLeaseGranted(long nowMillis, SlotLease lease) {
    context.views().of(lease.upstream()).merge(nowMillis, lease.warmUpState());
    if (heldSlots.containsKey(lease.leaseId()) || finishedLeases.contains(lease.leaseId())) {
      return;
    }
    HeldSlot slot =
        new HeldSlot(
            this,
            lease.leaseId(),
            lease.upstream(),
            nowMillis + lease.durationMillis(),
            lease.reusable());
    heldSlots.put(slot.leaseId, slot);
    RequestState requester = waiting.get(lease.requestId());
    if (requester != null && context.isSuspect(requester)) {
      if (startOn(nowMillis, requester, slot)) {
        return;
      }
    } else if (startNextWaiting(nowMillis, slot)) {
      return;
    }
    slot.idleSinceMillis = nowMillis;
    if (!slot.reusable) {
      returnSlot(slot, UseResult.UNUSED, 0, 0);
    }
  }

  private void onLeaseRecalled(long leaseId) {
    HeldSlot slot = heldSlots.get(leaseId);
    if (slot == null) {
      return;
    }
    slot.reusable = false;
    if (!slot.busy) {
      returnSlot(slot, UseResult.UNUSED, 0, 0);
    }
  }

  /** Starts the longest-waiting request that may run on a slot; returns false if none does. */
  private boolean startNextWaiting(long nowMillis, HeldSlot slot) {
    for (int attempts = waiting.size(); attempts > 0; attempts--) {
      RequestState oldest = findOldestWaiting(slot);
      if (oldest == null) {
        return false;
      }
      if (startOn(nowMillis, oldest, slot)) {
        return true;
      }
    }
    return false;
  }

  private RequestState findOldestWaiting(HeldSlot slot) {
    for (RequestState request : waiting.values()) {
      if (fits(request, slot.upstream) && !context.isSuspect(request)) {
        return request;
      }
    }
    return null;
  }

  private boolean startOn(long nowMillis, RequestState request, HeldSlot slot) {
    RequestId slotRequestId = request.slotRequestId;
    if (slotRequestId != null) {
      waiting.remove(slotRequestId, request);
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

  private void startWithoutDispatcher(long nowMillis) {
    List<Upstream> pool = context.topology().pool(key);
    for (RequestState request : new ArrayList<>(waiting.values())) {
      if (context.isSuspect(request)) {
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
    heldSlots.values().removeIf(slot -> !slot.busy);
    heldSlots.values().forEach(slot -> slot.reusable = false);
    if (!waiting.isEmpty() && !link.unavailable(nowMillis)) {
      waiting.values().forEach(request -> sendSlotRequest(nowMillis, request));
    }
  }

  private void returnSlot(HeldSlot slot, UseResult result, long runMillis, long incarnation) {
    heldSlots.remove(slot.leaseId);
    finishedLeases.add(slot.leaseId);
    if (finishedLeases.size() > MAX_FINISHED_LEASES) {
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
    boolean valid = !link.unavailable(nowMillis) || nowMillis < slot.usableUntilMillis;
    return slot.reusable && valid && context.acceptsWork(slot.upstream);
  }

  private boolean shouldReturn(long nowMillis, HeldSlot slot) {
    return nowMillis - slot.idleSinceMillis >= IDLE_LEASE_TIMEOUT_MILLIS
        || !reusable(nowMillis, slot);
  }

  private boolean fits(RequestState request, UpstreamId upstream) {
    return request.owner == null
        ? !request.excludedUpstreams.contains(upstream)
        : request.owner.equals(upstream);
  }

  private List<HeldLease> heldLeases(long nowMillis) {
    return heldSlots.values().stream()
        .map(
            slot ->
                new HeldLease(
                    slot.leaseId,
                    slot.upstream,
                    slot.busy ? nowMillis - slot.busySinceMillis : 0,
                    slot.busy))
        .toList();
  }

  private List<WarmUpState> recentWarmUpStates(long nowMillis) {
    long since = link.awaitsFirstAck() ? Long.MIN_VALUE : nowMillis - Dispatcher.LEASE_MILLIS;
    return context
        .views()
        .warmUpStates(context.topology().pool(key), view -> view.changedAtMillis() >= since);
  }
}
