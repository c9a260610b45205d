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
 * Leases the slots of one service in one data centre to the routers.
 *
 * <p>The state is soft: a successor rebuilds it from the routers' heartbeats. A slot is assigned to
 * the oldest waiting request only once it is free. Cold upstreams get requests at a limited rate,
 * and only while a majority of the data centre's routers supports this dispatcher.
 */
public final class Dispatcher {
  /** How long a lease lasts after its last renewal. */
  public static final long LEASE_MILLIS = 1_000;

  /** Fraction of a cold upstream's rate limit reserved for routers without a dispatcher. */
  public static final double RESERVED_RATE_FRACTION = 0.25;

  /** Time within which a request may be sent under a lease of a cold upstream. */
  static final long COLD_LEASE_MILLIS = 200;

  /** How long after its start a dispatcher adopts unknown leases from heartbeats. */
  private static final long LEASE_ADOPTION_MILLIS = 1_000;

  private static final int MAX_WAITING_REQUESTS = 4_096;

  private final SlotPoolId pool;
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
      SlotPoolId pool,
      DispatchPolicy policy,
      long leaseIdBase,
      long nowMillis,
      BiConsumer<MemberId, DispatchMessage> sender) {
    this.pool = pool;
    this.policy = policy;
    this.nextLeaseId = leaseIdBase;
    this.startedAtMillis = nowMillis;
    this.sender = sender;
  }

  /**
   * Returns a dispatcher without upstreams.
   *
   * @param leaseIdBase first lease id, from a range that no other dispatcher uses
   * @param sender sends messages to routers, including the one on this member
   */
  public static Dispatcher create(
      SlotPoolId pool,
      DispatchPolicy policy,
      long leaseIdBase,
      long nowMillis,
      BiConsumer<MemberId, DispatchMessage> sender) {
    return new Dispatcher(pool, policy, leaseIdBase, nowMillis, sender);
  }

  /**
   * Sets the available upstreams and the number of routers.
   *
   * @param routerCount number of routers in the data centre; a majority of them must support this
   *     dispatcher before it leases slots of cold upstreams
   */
  public void configure(ColdStart coldStart, List<Upstream> live, int routerCount) {
    quorum.routerCount(routerCount);
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

  /** Records the incarnation of an upstream; unknown upstreams are ignored. */
  public void observeIncarnation(long nowMillis, UpstreamId upstream, long incarnation) {
    UpstreamSlots slots = upstreams.get(upstream);
    if (slots != null) {
      slots.observeIncarnation(nowMillis, incarnation);
      recallIfCold(slots);
    }
  }

  /** Handles a message from a router or from the preceding dispatcher. */
  public void receive(long nowMillis, MemberId from, DispatchMessage message) {
    if (message instanceof SlotRequest request) {
      handleRequest(nowMillis, from, request);
    } else if (message instanceof DispatchMessage.SlotRequestWithdrawn withdrawn) {
      waiting.remove(withdrawn.requestId());
    } else if (message instanceof SlotReturn returned) {
      handleReturn(nowMillis, returned);
    } else if (message instanceof LeaseHeartbeat heartbeat) {
      handleHeartbeat(nowMillis, from, heartbeat);
    } else if (message instanceof DispatchMessage.HandOver handOver) {
      merge(handOver.warmUpStates(), nowMillis);
    }
    grantWaiting(nowMillis);
  }

  /** Removes expired requests and leases, and grants the slots that are free by now. */
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

  /** Returns the message that transfers this dispatcher's state to its successor. */
  public DispatchMessage.HandOver handOver() {
    return new DispatchMessage.HandOver(pool.service(), pool.dataCentre(), warmUpStates());
  }

  private void handleRequest(long nowMillis, MemberId from, SlotRequest request) {
    Lease existing = leasesByRequest.get(request.requestId());
    if (existing != null) {
      resend(existing, from);
      return;
    }
    if (waiting.size() >= MAX_WAITING_REQUESTS) {
      sender.accept(
          from,
          new DispatchMessage.SlotRefused(
              pool.service(), pool.dataCentre(), request.requestId(), LEASE_MILLIS));
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

  private void handleHeartbeat(long nowMillis, MemberId from, LeaseHeartbeat heartbeat) {
    long echo = heartbeat.echoMillis();
    boolean issuedHere = echo >= startedAtMillis && echo <= nowMillis;
    quorum.recordHeartbeat(from, issuedHere ? echo : 0, heartbeat.supportsDispatcher());
    merge(heartbeat.warmUpStates(), nowMillis);
    heartbeat.leases().forEach(held -> renew(nowMillis, from, held));
    sender.accept(
        from,
        new DispatchMessage.LeaseHeartbeatAck(
            pool.service(),
            pool.dataCentre(),
            heartbeat.sentAtMillis(),
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

  private void merge(List<WarmUpState> states, long nowMillis) {
    for (WarmUpState state : states) {
      UpstreamSlots slots = upstreams.get(state.upstream());
      if (slots != null) {
        slots.rateLimiter.merge(state, nowMillis);
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
            pool.service(),
            pool.dataCentre(),
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
    int untargeted = 0;
    Map<UpstreamId, Integer> targeted = new HashMap<>();
    for (WaitingRequest request : waiting.values()) {
      if (request.request().upstream() == null) {
        untargeted++;
      } else {
        targeted.merge(request.request().upstream(), 1, Integer::sum);
      }
    }
    for (UpstreamSlots slots : upstreams.values()) {
      int wanted = untargeted + targeted.getOrDefault(slots.upstream.id(), 0);
      untargeted -= Math.min(untargeted, recall(slots, wanted));
    }
  }

  /** Recalls leases until {@code wanted} recalls are pending; returns the number pending. */
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
        new DispatchMessage.Recall(pool.service(), pool.dataCentre(), List.of(lease.id)));
  }

  private void recallIfCold(UpstreamSlots slots) {
    if (slots.rateLimiter.warm()) {
      return;
    }
    recall(slots, Integer.MAX_VALUE);
  }
}
