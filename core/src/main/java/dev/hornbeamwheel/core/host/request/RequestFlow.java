package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.capacity.HostLimits;
import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.cold.ColdAllowance;
import dev.hornbeamwheel.core.host.keys.KeyOwnerCache;
import dev.hornbeamwheel.core.host.organisations.HostQuotas;
import dev.hornbeamwheel.core.host.organisations.QuotaLease;
import dev.hornbeamwheel.core.host.request.InFlightRequest.State;
import dev.hornbeamwheel.core.host.shares.ShareAllowance;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.recovery.Evidence;
import dev.hornbeamwheel.core.recovery.Quarantine;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;

/**
 * Processes each request of this host from its arrival to its single final response.
 *
 * <p>The coordinator grants the slot for a request; while no coordinator responds, {@link
 * LocalUpstreamSelector} selects the upstream. A non-idempotent request is retried only if it is
 * known not to have run: the upstream reported so, or no connection could be made.
 */
public final class RequestFlow {
  private static final String CLOSED_REASON = "upstreams asked for no requests for a time";

  private final Catalog catalog;
  private final UpstreamNotices notices;
  private final CrashGuard crashGuard;
  private final LocalUpstreamSelector localSelector;
  private final LocalShares shares;
  private final LocalSelection localSelection;
  private final RetryPolicy retryPolicy = new RetryPolicy();
  private final Admission admission;
  private final CoordinatorContact coordinator = new CoordinatorContact();
  private final FinalResponses responses;
  private final Map<RequestRef, InFlightRequest> inFlight;
  private final SlotRequests slotRequests;
  private final RequestQuotas quotas;
  private final List<RequestEffect> effects = new ArrayList<>();
  private final QuarantinedRequests quarantined;
  private final Shutdown shutdown;

  private RequestFlow(
      Catalog catalog,
      Quarantine quarantine,
      DataCentreId localDataCentre,
      Random random,
      ShareAllowance shareAllowance,
      HostQuotas hostQuotas) {
    this.catalog = catalog;
    this.crashGuard = new CrashGuard(catalog, quarantine);
    this.localSelector =
        new LocalUpstreamSelector(catalog, localDataCentre, random, shareAllowance);
    this.shares = new LocalShares(catalog, shareAllowance);
    this.slotRequests = new SlotRequests(localSelector.coldAllowance(), shareAllowance, effects);
    this.responses = new FinalResponses(catalog, effects);
    this.inFlight = responses.inFlight();
    this.notices = new UpstreamNotices(catalog, localSelector, responses.log());
    this.localSelection = new LocalSelection(localSelector, shares, crashGuard, notices, responses);
    this.admission = new Admission(catalog, responses, random);
    this.quarantined = new QuarantinedRequests(crashGuard, slotRequests, responses, effects);
    this.shutdown = new Shutdown(slotRequests, responses, this::abortAttempt);
    this.quotas = new RequestQuotas(hostQuotas, coordinator, responses, effects);
  }

  /** Returns a flow without requests on a host that is not limited without a coordinator. */
  public static RequestFlow create(
      Catalog catalog, Quarantine quarantine, DataCentreId localDataCentre, long seed) {
    return create(catalog, quarantine, localDataCentre, seed, 0);
  }

  /**
   * Returns a flow without requests.
   *
   * @param quarantine evidence of all hosts about requests that crash upstreams
   * @param localDataCentre data centre of this host
   * @param seed seed of the random number generator
   * @param plannedHosts maximum number of hosts, which share the upstreams without a coordinator;
   *     zero if hosts are not limited then
   */
  public static RequestFlow create(
      Catalog catalog,
      Quarantine quarantine,
      DataCentreId localDataCentre,
      long seed,
      int plannedHosts) {
    return new RequestFlow(
        catalog,
        quarantine,
        localDataCentre,
        new Random(seed),
        ShareAllowance.create(plannedHosts),
        HostQuotas.create(catalog::organisations, new Random(seed)));
  }

  /** Returns an explainer of where this flow would send a request now, which changes no state. */
  public RequestExplainer explainer() {
    return new RequestExplainer(catalog, localSelector, coordinator, notices);
  }

  /** Returns the number of requests that have no final response yet. */
  public int inFlightCount() {
    return inFlight.size();
  }

  /** Returns the number of requests that wait for a slot. */
  public int waitingCount() {
    return slotRequests.count();
  }

  /** Admits or rejects a new request of a caller. */
  public List<RequestEffect> requestArrived(long nowMillis, RequestRef ref, RequestHead head) {
    admission
        .admit(nowMillis, ref, head)
        .ifPresent(
            request -> {
              inFlight.put(ref, request);
              retryPolicy.requestArrived(request.service);
              quotas.requestArrived(nowMillis, request);
              shares.arrived(nowMillis, request);
              requestSlot(nowMillis, request);
            });
    return drainEffects();
  }

  /** Records that the process is shutting down; {@link #tick} then ends its requests in steps. */
  public void shutdownStarted(ShutdownSchedule schedule) {
    admission.shutdownStarted(schedule);
    shutdown.started(schedule);
  }

  /**
   * Handles a caller that closed its connection before the response.
   *
   * <p>A non-idempotent request that is already at an upstream is not aborted.
   */
  public List<RequestEffect> callerDisconnected(long nowMillis, RequestRef ref) {
    InFlightRequest request = inFlight.get(ref);
    if (request == null) {
      return drainEffects();
    }
    request.callerDisconnected = true;
    if (request.state == State.AWAITING_SLOT) {
      slotRequests.cancel(request);
      responses.finish(nowMillis, request, "caller disconnected while waiting for a slot");
    } else if (request.idempotent()) {
      abortAttempt(nowMillis, request);
      responses.finish(nowMillis, request, "caller disconnected");
    }
    return drainEffects();
  }

  /** Handles a slot that the coordinator granted; a slot that is not needed is released. */
  public List<RequestEffect> slotGranted(
      long nowMillis, long slotRequestNumber, UpstreamId upstream, long fencingToken) {
    slotRequests
        .answered(slotRequestNumber)
        .ifPresentOrElse(
            request -> useSlot(nowMillis, request, upstream, fencingToken),
            () -> effects.add(RequestEffect.ReleaseSlot.unused(slotRequestNumber, upstream)));
    return drainEffects();
  }

  /** Handles a slot request that the coordinator refused. */
  public List<RequestEffect> slotRefused(
      long nowMillis,
      long slotRequestNumber,
      ErrorResponse error,
      long retryAfterMillis,
      String reason) {
    slotRequests
        .answered(slotRequestNumber)
        .ifPresent(
            request -> {
              request.decidedByCoordinator = true;
              responses.refuse(nowMillis, request, error, retryAfterMillis, reason);
            });
    return drainEffects();
  }

  /** Handles the end of an attempt: forwards the response, retries or responds with an error. */
  public List<RequestEffect> attemptEnded(long nowMillis, RequestRef ref, AttemptResult result) {
    InFlightRequest request = inFlight.get(ref);
    if (request == null || request.state != State.RUNNING) {
      return drainEffects();
    }
    recordAttemptEnd(nowMillis, request, result);
    quarantined.evidenceFound(nowMillis, crashGuard.attemptEnded(nowMillis, request, result));
    effects.addAll(notices.received(nowMillis, request, result.notice()));
    if (request.callerDisconnected) {
      responses.finish(nowMillis, request, "caller disconnected; " + result.completion());
      return drainEffects();
    }
    switch (result.completion()) {
      case SERVED -> responses.forward(nowMillis, request, result);
      case FAILED -> {
        if (!retryPossiblyRun(nowMillis, request, result)) {
          responses.forward(nowMillis, request, result);
        }
      }
      case UNREACHABLE -> retryNotRun(nowMillis, request, true);
      case NOT_RUN, MISDIRECTED -> retryNotRun(nowMillis, request, retryPolicy.tryAcquire(request));
      case BROKEN, CANCELLED ->
          retryOrFail(nowMillis, request, result, ErrorResponse.UPSTREAM_FAILED);
      case TIMED_OUT -> retryOrFail(nowMillis, request, result, ErrorResponse.TIMED_OUT);
      default -> throw new IllegalStateException("unexpected completion: " + result.completion());
    }
    return drainEffects();
  }

  /** Handles the result of a check whether an upstream still runs. */
  public List<RequestEffect> upstreamChecked(
      long nowMillis, UpstreamIncarnation upstream, CheckResult result) {
    quarantined.evidenceFound(nowMillis, crashGuard.checked(nowMillis, upstream, result));
    return drainEffects();
  }

  /** Takes over evidence of other hosts about requests that crash upstreams. */
  public List<RequestEffect> evidenceReceived(long nowMillis, List<Evidence> evidence) {
    effects.addAll(crashGuard.evidenceReceived(nowMillis, evidence));
    quarantined.refuseWaiting(nowMillis);
    return drainEffects();
  }

  /** Allows a request again that is refused because it crashed upstreams. */
  public List<RequestEffect> quarantineLifted(long nowMillis, long fingerprint) {
    quarantined.evidenceFound(nowMillis, crashGuard.lift(nowMillis, fingerprint));
    return drainEffects();
  }

  /** Handles an upstream that said in its response to an order that it leaves. */
  public List<RequestEffect> upstreamLeaving(UpstreamId upstream) {
    effects.addAll(notices.leaving(upstream));
    return drainEffects();
  }

  /** Handles an established connection to the coordinator; reports the running requests to it. */
  public List<RequestEffect> coordinatorConnected(long nowMillis) {
    coordinator.connected(nowMillis);
    responses.log().coordinatorConnected(nowMillis);
    quotas.coordinatorConnected(nowMillis);
    slotRequests.reportHeld(inFlight.values());
    return drainEffects();
  }

  /** Handles a lost connection to the coordinator; selects an upstream for each waiting request. */
  public List<RequestEffect> coordinatorLost(long nowMillis) {
    coordinator.lost();
    inFlight.values().forEach(request -> request.decidedByCoordinator = false);
    selectAllLocally(nowMillis);
    return drainEffects();
  }

  /**
   * Records a heartbeat of the coordinator.
   *
   * @param connectedHosts number of hosts that are connected to the coordinator
   */
  public void heartbeatReceived(long nowMillis, long term, int connectedHosts) {
    coordinator.heartbeatReceived(nowMillis);
    retryPolicy.fleetSizeReported(connectedHosts);
    responses.log().heartbeatReceived(nowMillis, term);
  }

  /** Returns what this host may send to cold upstreams without a coordinator, as mutable object. */
  public ColdAllowance coldAllowance() {
    return localSelector.coldAllowance();
  }

  /** Takes over a lease on parts of quotas. */
  public void quotaLeaseGranted(QuotaLease lease) {
    quotas.leaseGranted(lease);
  }

  /** Returns what this host may send to services without a coordinator, as a mutable object. */
  public ShareAllowance shares() {
    return shares.allowance();
  }

  /** Returns the learned limits of upstreams, as a mutable object. */
  public HostLimits hostLimits() {
    return localSelector.hostLimits();
  }

  /** Records that this process continues after it stood still. */
  public void resumed(long nowMillis) {
    slotRequests.resumed(nowMillis);
    localSelector.resumed(nowMillis);
  }

  /** Returns the known key owners of a service, as a mutable object. */
  public KeyOwnerCache owners(ServiceId service) {
    return localSelector.owners(service);
  }

  /**
   * Ends the requests whose deadline has passed, and those that a shutdown leaves no time. If the
   * coordinator has timed out, selects upstreams locally for the requests that wait for a slot.
   */
  public List<RequestEffect> tick(long nowMillis) {
    if (!slotRequests.isEmpty() && !coordinator.usable(nowMillis)) {
      selectAllLocally(nowMillis);
    }
    quarantined.evidenceFound(nowMillis, crashGuard.tick(nowMillis));
    quotas.renewLease(nowMillis);
    List.copyOf(inFlight.values()).stream()
        .filter(request -> nowMillis >= request.deadlineMillis)
        .forEach(request -> expire(nowMillis, request));
    shutdown.tick(nowMillis);
    slotRequests
        .takeLongWaits(nowMillis)
        .forEach(request -> effects.add(responses.log().waits(nowMillis, request)));
    return drainEffects();
  }

  private void expire(long nowMillis, InFlightRequest request) {
    if (request.state == State.AWAITING_SLOT) {
      slotRequests.cancel(request);
      responses.refuse(nowMillis, request, "deadline passed without a slot");
      return;
    }
    abortAttempt(nowMillis, request, Completion.TIMED_OUT);
    responses.respondWithError(
        nowMillis, request, ErrorResponse.TIMED_OUT, 0, "no answer before the deadline");
  }

  private void requestSlot(long nowMillis, InFlightRequest request) {
    request.state = State.AWAITING_SLOT;
    if (quarantined.refuses(nowMillis, request) || shutdown.refuses(nowMillis, request)) {
      return;
    }
    request.decidedByCoordinator = false;
    slotRequests.number(nowMillis, request);
    OptionalLong closedMillis = notices.closedMillis(nowMillis, request);
    if (closedMillis.isPresent()) {
      responses.refuse(nowMillis, request, closedMillis.getAsLong(), CLOSED_REASON);
      return;
    }
    if (!coordinator.usable(nowMillis)) {
      selectLocally(nowMillis, request);
      return;
    }
    quotas.coordinatorUsed();
    if (!request.keyed) {
      request.excludedUpstreams.addAll(localSelector.unreachableUpstreams(nowMillis));
      request.excludedUpstreams.addAll(notices.closures().closed(nowMillis));
    }
    slotRequests.send(nowMillis, request, crashGuard.isSuspect(request));
  }

  private void selectAllLocally(long nowMillis) {
    slotRequests.cancelIf(request -> true).forEach(request -> selectLocally(nowMillis, request));
  }

  private void selectLocally(long nowMillis, InFlightRequest request) {
    if (quotas.refusesLocally(nowMillis, request)) {
      return;
    }
    localSelection
        .selectOrRefuse(nowMillis, request)
        .ifPresent(upstream -> send(nowMillis, request, upstream));
  }

  private void send(long nowMillis, InFlightRequest request, UpstreamRegistration upstream) {
    if (nowMillis >= request.deadlineMillis) {
      // The event loop is delayed; otherwise tick would have ended the request already.
      if (request.decidedByCoordinator) {
        effects.add(RequestEffect.ReleaseSlot.unused(request.slotRequestNumber, upstream.id()));
      }
      responses.refuse(nowMillis, request, "deadline passed before sending");
      return;
    }
    request.state = State.RUNNING;
    request.upstream = upstream;
    request.sentMillis = nowMillis;
    request.sendCount++;
    localSelector.attemptStarted(upstream.id());
    quotas.requestSent(request);
    effects.add(
        new RequestEffect.Send(
            request.ref,
            upstream,
            request.deadlineMillis - nowMillis,
            request.idempotent(),
            request.decidedByCoordinator,
            request.caller));
    if (upstream.cold(nowMillis)) {
      int partitions = coldAllowance().partitions(nowMillis).size();
      effects.add(responses.log().sentCold(nowMillis, request, partitions));
    }
  }

  private void abortAttempt(long nowMillis, InFlightRequest request) {
    abortAttempt(nowMillis, request, Completion.CANCELLED);
  }

  private void abortAttempt(long nowMillis, InFlightRequest request, Completion completion) {
    effects.add(new RequestEffect.Abort(request.ref));
    recordAttemptEnd(nowMillis, request, AttemptResult.withoutResponse(completion));
  }

  private void recordAttemptEnd(long nowMillis, InFlightRequest request, AttemptResult result) {
    localSelection.attemptEnded(nowMillis, request, result);
    slotRequests.release(nowMillis, request, result);
    if (result.completion() != Completion.SERVED) {
      effects.add(responses.log().attemptFailed(nowMillis, request, result));
    }
  }

  /** Requests another slot for a request that did not run, or refuses the request. */
  private void retryNotRun(long nowMillis, InFlightRequest request, boolean retryAllowed) {
    if (request.upstream != null && !request.keyed) {
      request.excludedUpstreams.add(request.upstream.id());
    }
    if (retryAllowed && retryPolicy.hasSendsLeft(request) && nowMillis < request.deadlineMillis) {
      requestSlot(nowMillis, request);
    } else {
      responses.refuse(nowMillis, request, "upstreams did not run the request");
    }
  }

  /** Requests another slot for a request that may have run; returns false if not allowed. */
  private boolean retryPossiblyRun(long nowMillis, InFlightRequest request, AttemptResult result) {
    request.mayHaveRun = true;
    request.possibleRunCount++;
    if (!retryPolicy.tryAcquireAfterRun(nowMillis, request, result)) {
      return false;
    }
    if (!request.keyed) {
      request.excludedUpstreams.add(request.upstream.id());
    }
    requestSlot(nowMillis, request);
    return true;
  }

  private void retryOrFail(
      long nowMillis, InFlightRequest request, AttemptResult result, ErrorResponse error) {
    if (!retryPossiblyRun(nowMillis, request, result)) {
      responses.respondWithError(
          nowMillis, request, error, 0, "attempt failed: " + result.completion());
    }
  }

  /** Sends a request to the upstream of its slot, or releases the slot and looks for another. */
  private void useSlot(
      long nowMillis, InFlightRequest request, UpstreamId upstream, long fencingToken) {
    Optional<UpstreamRegistration> entry = catalog.upstream(upstream).filter(catalog::usable);
    long closedMillis =
        entry.map(usable -> notices.closures().closedMillis(nowMillis, usable)).orElse(0L);
    boolean outdated = slotRequests.outdated(request);
    request.decidedByCoordinator = entry.isPresent();
    if (entry.isPresent() && closedMillis == 0 && !outdated) {
      request.fencingToken = fencingToken;
      send(nowMillis, request, entry.get());
      return;
    }
    effects.add(RequestEffect.ReleaseSlot.unused(request.slotRequestNumber, upstream));
    if (entry.isEmpty()) {
      request.excludedUpstreams.add(upstream);
      retryNotRun(nowMillis, request, true);
    } else if (closedMillis > 0) {
      turnAway(nowMillis, request, closedMillis);
    } else {
      requestSlot(nowMillis, request);
    }
  }

  /** Handles a slot at an upstream that wants no requests of this host now. */
  private void turnAway(long nowMillis, InFlightRequest request, long closedMillis) {
    if (request.keyed) {
      responses.refuse(nowMillis, request, closedMillis, CLOSED_REASON);
    } else {
      requestSlot(nowMillis, request);
    }
  }

  private List<RequestEffect> drainEffects() {
    List<RequestEffect> drained = List.copyOf(effects);
    effects.clear();
    return drained;
  }
}
