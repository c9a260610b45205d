package dev.hornbeamwheel.core.dispatch;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.HeldLease;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.LeaseHeartbeat;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.SlotLease;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.SlotRequest;
import dev.hornbeamwheel.core.dispatch.DispatchMessage.SlotReturn;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Shares out the slots of one service in one data centre among all routers.
 *
 * <p>Its state is soft: a successor learns it from the routers' reports. It binds a slot to the
 * request that has waited longest only when the slot is free. Cold upstreams get requests no faster
 * than they bear, and only while a majority of the data centre's routers back this dispatcher.
 */
public final class Dispatcher {
  /** Time after its last renewal for which a lease counts. */
  public static final long LEASE_MILLIS = 1_000;

  /** Share of a cold upstream's limit that routers keep for the time without a dispatcher. */
  public static final double RESERVED_RATE_FRACTION = 0.25;

  /** Time for which a lease of a cold upstream may be taken up. */
  static final long COLD_LEASE_MILLIS = 200;

  /** Time after the first message for which unknown leases in reports are adopted. */
  private static final long LEASE_ADOPTION_MILLIS = 1_000;

  /** Requests that wait at most. */
  private static final int MAX_WAITING_REQUESTS = 4_096;

  private final SlotPoolId key;
  private final DispatchPolicy policy;
  private final BiConsumer<MemberId, DispatchMessage> sender;
  private final UpstreamScore upstreamScore = UpstreamScore.byExpectedRunTime();
  private final Map<UpstreamId, UpstreamSlots> upstreams = new LinkedHashMap<>();
  private final Map<RequestId, WaitingRequest> waiting = new LinkedHashMap<>();
  private final Map<RequestId, Lease> leasesByRequest = new LinkedHashMap<>();
  private final DispatcherQuorum quorum = new DispatcherQuorum();
  private final long startedAtMillis;
  private long nextLeaseId;
  private int outstandingReusableLeases;

  private Dispatcher(
      SlotPoolId key,
      DispatchPolicy policy,
      long leaseIdBase,
      long nowMillis,
      BiConsumer<MemberId, DispatchMessage> sender) {
    this.key = key;
    this.policy = policy;
    this.nextLeaseId = leaseIdBase;
    this.startedAtMillis = nowMillis;
    this.sender = sender;
  }

  /**
   * Returns a dispatcher that knows of no upstream.
   *
   * @param leaseIdBase first lease id, from a range of which no other dispatcher draws
   * @param sender takes the messages to routers, this one included
   */
  public static Dispatcher create(
      SlotPoolId key,
      DispatchPolicy policy,
      long leaseIdBase,
      long nowMillis,
      BiConsumer<MemberId, DispatchMessage> sender) {
    return new Dispatcher(key, policy, leaseIdBase, nowMillis, sender);
  }

  /**
   * Sets the upstreams that take work and the number of routers whose majority must back this one.
   */
  public void configure(ColdStart coldStart, List<Upstream> live, int electorate) {
    quorum.routerCount(electorate);
    List.copyOf(upstreams.values()).stream()
        .filter(slots -> !live.contains(slots.upstream))
        .forEach(this::removeUpstream);
    live.forEach(
        upstream ->
            upstreams
                .computeIfAbsent(upstream.id(), absent -> new UpstreamSlots(upstream, coldStart))
                .rateLimiter
                .configure(coldStart));
  }

  /** Takes in that an upstream was seen with an incarnation. */
  public void observeIncarnation(long nowMillis, UpstreamId upstream, long incarnation) {
    UpstreamSlots slots = upstreams.get(upstream);
    if (slots != null) {
      slots.observeIncarnation(nowMillis, incarnation);
      recallIfCold(slots);
    }
  }

  /** Takes a message of a router in. */
  public void receive(long nowMillis, MemberId from, DispatchMessage message) {
    if (message instanceof SlotRequest request) {
      handleRequest(nowMillis, from, request);
    } else if (message instanceof DispatchMessage.SlotRequestWithdrawn withdrawn) {
      waiting.remove(withdrawn.requestId());
    } else if (message instanceof SlotReturn returned) {
      handleReturn(nowMillis, returned);
    } else if (message instanceof LeaseHeartbeat holding) {
      handleHeartbeat(nowMillis, from, holding);
    } else if (message instanceof DispatchMessage.HandOver handOver) {
      merge(handOver.warmUpStates(), nowMillis);
    }
    grantWaiting(nowMillis);
  }

  /** Drops what has lapsed and grants what the passing of time allows. */
  public void tick(long nowMillis) {
    waiting.values().removeIf(request -> request.deadlineMillis() <= nowMillis);
    for (UpstreamSlots slots : upstreams.values()) {
      for (Lease lease : slots.leases()) {
        if (nowMillis - lease.renewedAtMillis >= LEASE_MILLIS) {
          release(slots, lease.id);
        }
      }
    }
    grantWaiting(nowMillis);
  }

  /** Returns the message that tells a successor what this dispatcher knows. */
  public DispatchMessage.HandOver handOver() {
    return new DispatchMessage.HandOver(key.service(), key.dataCentre(), warmUpStates());
  }

  private void handleRequest(long nowMillis, MemberId from, SlotRequest request) {
    Lease given = leasesByRequest.get(request.requestId());
    if (given != null) {
      resend(given, from);
      return;
    }
    if (waiting.size() >= MAX_WAITING_REQUESTS) {
      sender.accept(
          from,
          new DispatchMessage.SlotRefused(
              key.service(), key.dataCentre(), request.requestId(), LEASE_MILLIS));
      return;
    }
    waiting.putIfAbsent(
        request.requestId(),
        new WaitingRequest(
            from,
            request,
            nowMillis - request.waitedMillis(),
            nowMillis + request.remainingMillis()));
  }

  private void resend(Lease lease, MemberId from) {
    for (UpstreamSlots slots : upstreams.values()) {
      if (slots.lease(lease.id) != null && slots.rateLimiter.warm()) {
        send(from, lease, slots);
      }
    }
  }

  private void handleReturn(long nowMillis, SlotReturn returned) {
    UpstreamSlots slots = upstreams.get(returned.upstream());
    if (slots == null) {
      return;
    }
    release(slots, returned.leaseId());
    switch (returned.result()) {
      case COMPLETED ->
          slots.recordCompletion(nowMillis, returned.runMillis(), returned.upstreamIncarnation());
      case SHED ->
          slots.recordShed(nowMillis, nowMillis - startedAtMillis >= LEASE_ADOPTION_MILLIS);
      case LOST -> slots.recordLoss(nowMillis);
      default -> slots.rateLimiter.observeIncarnation(nowMillis, returned.upstreamIncarnation());
    }
    recallIfCold(slots);
  }

  private void handleHeartbeat(long nowMillis, MemberId from, LeaseHeartbeat holding) {
    long echo = holding.echoMillis();
    boolean own = echo >= startedAtMillis && echo <= nowMillis;
    quorum.recordHeartbeat(from, own ? echo : 0, holding.supportsDispatcher());
    merge(holding.warmUpStates(), nowMillis);
    holding.leases().forEach(held -> renew(nowMillis, from, held));
    sender.accept(
        from,
        new DispatchMessage.LeaseHeartbeatAck(
            key.service(),
            key.dataCentre(),
            holding.sentAtMillis(),
            nowMillis,
            changedWarmUpStates(nowMillis)));
  }

  private void renew(long nowMillis, MemberId from, HeldLease held) {
    UpstreamSlots slots = upstreams.get(held.upstream());
    if (slots == null) {
      return;
    }
    Lease lease = slots.lease(held.leaseId());
    if (lease == null && held.busy() && nowMillis - startedAtMillis < LEASE_ADOPTION_MILLIS) {
      lease = new Lease(held.leaseId(), from, null, 0, false, nowMillis);
      slots.adopt(lease);
    }
    if (lease != null) {
      lease.renewedAtMillis = nowMillis;
      lease.busySinceMillis = nowMillis - held.busyMillis();
    }
  }

  private void merge(List<WarmUpState> temperatures, long nowMillis) {
    for (WarmUpState temperature : temperatures) {
      UpstreamSlots slots = upstreams.get(temperature.upstream());
      if (slots != null) {
        slots.rateLimiter.merge(temperature, nowMillis);
        recallIfCold(slots);
      }
    }
  }

  private List<WarmUpState> warmUpStates() {
    return upstreams.values().stream().map(slots -> slots.rateLimiter.warmUpState()).toList();
  }

  private List<WarmUpState> changedWarmUpStates(long nowMillis) {
    return upstreams.values().stream()
        .filter(slots -> slots.rateLimiter.needsBroadcast(nowMillis))
        .map(slots -> slots.rateLimiter.warmUpState())
        .toList();
  }

  private void grantWaiting(long nowMillis) {
    if (waiting.isEmpty()) {
      return;
    }
    boolean coldAllowed = quorum.hasMajority(nowMillis);
    Iterator<WaitingRequest> oldestFirst = waiting.values().iterator();
    boolean anyFree = anyFreeSlot(nowMillis, coldAllowed);
    while (oldestFirst.hasNext() && anyFree) {
      WaitingRequest next = oldestFirst.next();
      UpstreamSlots chosen = chooseUpstream(next, nowMillis, coldAllowed);
      if (chosen != null) {
        oldestFirst.remove();
        grant(nowMillis, next, chosen);
        anyFree = anyFreeSlot(nowMillis, coldAllowed);
      }
    }
    recallForWaiting();
  }

  private boolean anyFreeSlot(long nowMillis, boolean coldAllowed) {
    for (UpstreamSlots slots : upstreams.values()) {
      if (slots.hasFreeSlot(nowMillis, coldAllowed)) {
        return true;
      }
    }
    return false;
  }

  private UpstreamSlots chooseUpstream(WaitingRequest next, long nowMillis, boolean coldAllowed) {
    SlotRequest request = next.request();
    if (request.fingerprint() != 0 && suspectRunning(request.fingerprint())) {
      return null;
    }
    if (request.upstream() != null) {
      UpstreamSlots only = upstreams.get(request.upstream());
      return only != null && only.hasFreeSlot(nowMillis, coldAllowed) ? only : null;
    }
    UpstreamSlots best = null;
    double bestScore = Double.MAX_VALUE;
    for (UpstreamSlots slots : upstreams.values()) {
      if (!slots.hasFreeSlot(nowMillis, coldAllowed)
          || request.avoid().contains(slots.upstream.id())) {
        continue;
      }
      double score = upstreamScore.score(slots, nowMillis);
      if (score < bestScore) {
        best = slots;
        bestScore = score;
      }
    }
    return best;
  }

  private boolean suspectRunning(long fingerprint) {
    return leasesByRequest.values().stream()
        .anyMatch(lease -> lease.suspectFingerprint == fingerprint);
  }

  private void grant(long nowMillis, WaitingRequest next, UpstreamSlots slots) {
    boolean reusable =
        policy == DispatchPolicy.REUSE
            && slots.rateLimiter.warm()
            && next.request().fingerprint() == 0
            && waiting.isEmpty();
    Lease lease =
        new Lease(
            nextLeaseId++,
            next.router(),
            next.request().requestId(),
            next.request().fingerprint(),
            reusable,
            nowMillis);
    slots.grant(lease);
    outstandingReusableLeases += reusable ? 1 : 0;
    leasesByRequest.put(lease.requestId, lease);
    send(next.router(), lease, slots);
  }

  private void send(MemberId to, Lease lease, UpstreamSlots slots) {
    sender.accept(
        to,
        new SlotLease(
            key.service(),
            key.dataCentre(),
            lease.id,
            lease.requestId,
            slots.upstream.id(),
            slots.rateLimiter.warm() ? LEASE_MILLIS : COLD_LEASE_MILLIS,
            lease.reusable,
            slots.rateLimiter.warmUpState()));
  }

  private void release(UpstreamSlots slots, long leaseId) {
    Lease lease = slots.remove(leaseId);
    if (lease == null) {
      return;
    }
    if (lease.requestId != null) {
      leasesByRequest.remove(lease.requestId);
    }
    outstandingReusableLeases -= lease.reusable && !lease.recalled ? 1 : 0;
  }

  private void removeUpstream(UpstreamSlots slots) {
    slots.leases().forEach(lease -> release(slots, lease.id));
    upstreams.remove(slots.upstream.id());
  }

  private void recallForWaiting() {
    if (outstandingReusableLeases == 0) {
      return;
    }
    int pooled = 0;
    Map<UpstreamId, Integer> targeted = new HashMap<>();
    for (WaitingRequest request : waiting.values()) {
      if (request.request().upstream() == null) {
        pooled++;
      } else {
        targeted.merge(request.request().upstream(), 1, Integer::sum);
      }
    }
    for (UpstreamSlots slots : upstreams.values()) {
      int wanted = pooled + targeted.getOrDefault(slots.upstream.id(), 0);
      pooled -= Math.min(pooled, recall(slots, wanted));
    }
  }

  /** Recalls leases until the given number is on its way back, and returns that number. */
  private int recall(UpstreamSlots slots, int wanted) {
    int pending = 0;
    for (Lease lease : slots.leases()) {
      if (lease.reusable && !lease.recalled && pending < wanted) {
        recall(lease);
      }
      pending += lease.recalled ? 1 : 0;
    }
    return pending;
  }

  private void recall(Lease lease) {
    lease.recalled = true;
    outstandingReusableLeases--;
    sender.accept(
        lease.holder,
        new DispatchMessage.Recall(key.service(), key.dataCentre(), List.of(lease.id)));
  }

  private void recallIfCold(UpstreamSlots slots) {
    if (slots.rateLimiter.warm()) {
      return;
    }
    recall(slots, Integer.MAX_VALUE);
  }
}
