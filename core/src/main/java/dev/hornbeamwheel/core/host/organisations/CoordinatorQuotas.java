package dev.hornbeamwheel.core.host.organisations;

import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.slots.Completion;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.host.slots.SlotRequestId;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.core.model.OrganisationId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongPredicate;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * The quotas of all organisations during one term of the coordinator.
 *
 * <p>A slot request takes a token when it arrives, so that a request beyond the quota is refused at
 * once and never waits for a slot. The grant of the slot takes a token of a second bucket: requests
 * that waited for different times may start together. A request that does not run returns its
 * tokens.
 */
public final class CoordinatorQuotas {
  /** Interval at which the parts of the coordinator are calculated anew, in milliseconds. */
  static final long UPDATE_INTERVAL_MILLIS = 200;

  /** Minimum interval between two log entries, in milliseconds. */
  private static final long LOG_INTERVAL_MILLIS = 1_000;

  private static final double PERCENT = 100;

  /** A request that holds a token; {@code started} if it holds a second one for its start. */
  private record Admitted(OrganisationQuota quota, boolean started) {}

  private final Supplier<Organisations> organisations;
  private final LongPredicate leaseHeld;
  private final FleetMembers members;
  private final Map<OrganisationId, OrganisationQuota> quotas = new HashMap<>();
  private final Map<SlotRequestId, Admitted> admitted = new HashMap<>();
  private final long termStartMillis;
  private final long settledMillis;
  private Organisations known = Organisations.none();
  private long lastLeaseMillis;
  private long updateDueMillis;
  private long loggedPercent = -1;
  private long loggedMillis = Long.MIN_VALUE / 2;

  /**
   * Takes over the number of hosts that the lease row names, so that a host which has just started
   * and won the lease does not take itself for the whole fleet.
   */
  public void fleetSizeRead(int size) {
    members.sizeReported(size);
  }

  private CoordinatorQuotas(
      long nowMillis,
      boolean firstTerm,
      Supplier<Organisations> organisations,
      LongPredicate leaseHeld) {
    this.organisations = organisations;
    this.leaseHeld = leaseHeld;
    this.members = new FleetMembers(nowMillis);
    this.termStartMillis = nowMillis;
    this.lastLeaseMillis = nowMillis;
    this.updateDueMillis = nowMillis;
    this.settledMillis = firstTerm ? nowMillis : nowMillis + QuotaLeases.EXPIRY_MILLIS;
  }

  /**
   * Returns the quotas of a term that starts now.
   *
   * @param firstTerm whether there was no coordinator before
   * @param organisations returns the organisations of the current configuration
   * @param leaseHeld whether this coordinator certainly holds the coordinator's lease at a time
   */
  public static CoordinatorQuotas startTerm(
      long nowMillis,
      boolean firstTerm,
      Supplier<Organisations> organisations,
      LongPredicate leaseHeld) {
    return new CoordinatorQuotas(nowMillis, firstTerm, organisations, leaseHeld);
  }

  /**
   * Admits a slot request, or returns the delay after which its caller should retry, in
   * milliseconds.
   */
  public OptionalLong requested(
      long nowMillis,
      Optional<HostId> host,
      SlotRequestId request,
      Optional<OrganisationId> organisation) {
    if (organisation.isEmpty() || !organisations.get().quota(organisation.get()).limited()) {
      return OptionalLong.empty();
    }
    host.ifPresent(sender -> heard(nowMillis, sender));
    updateIfDue(nowMillis);
    OrganisationQuota quota = quota(nowMillis, organisation.get());
    if (!quota.tryArrive(nowMillis)) {
      return OptionalLong.of(quota.retryAfterMillis(nowMillis));
    }
    admitted.put(request, new Admitted(quota, false));
    return OptionalLong.empty();
  }

  /**
   * Admits the start of a request whose slot is about to be granted, or returns the delay after
   * which its caller should retry, in milliseconds.
   */
  public OptionalLong granted(long nowMillis, SlotRequestId request) {
    Admitted held = admitted.get(request);
    if (held == null) {
      return OptionalLong.empty();
    }
    if (!held.quota().tryStart(nowMillis)) {
      returnTokens(request);
      return OptionalLong.of(held.quota().retryAfterMillis(nowMillis));
    }
    admitted.put(request, new Admitted(held.quota(), true));
    return OptionalLong.empty();
  }

  /** Handles a slot request that was refused for another reason, or cancelled by its host. */
  public void returnTokens(SlotRequestId request) {
    Admitted held = admitted.remove(request);
    if (held != null) {
      held.quota().returnArrival();
      if (held.started()) {
        held.quota().returnStart();
      }
    }
  }

  /**
   * Handles the end of a request that held a slot.
   *
   * @param runMillis time for which it ran, in milliseconds; zero if it was not sent
   */
  public void ended(SlotRequestId request, Completion completion, long runMillis) {
    boolean ran =
        switch (completion) {
          case NOT_RUN, MISDIRECTED, UNREACHABLE -> false;
          case CANCELLED -> runMillis > 0;
          default -> true;
        };
    if (ran) {
      admitted.remove(request);
    } else {
      returnTokens(request);
    }
  }

  /** Handles the end of the connection to a host. */
  public void hostDisconnected(long nowMillis, LinkId link, Optional<HostId> host) {
    List<SlotRequestId> waiting =
        admitted.entrySet().stream()
            .filter(entry -> entry.getKey().link().equals(link) && !entry.getValue().started())
            .map(Map.Entry::getKey)
            .toList();
    waiting.forEach(this::returnTokens);
    admitted.keySet().removeIf(request -> request.link().equals(link));
    host.ifPresent(
        lost -> {
          silenced(nowMillis, members.disconnected(lost));
          update(nowMillis);
        });
  }

  /** Renews the lease of a host; returns empty if this coordinator may not grant leases now. */
  public Optional<QuotaLease> renew(long nowMillis, HostId host, QuotaLeaseRequest request) {
    members.sizeReported(request.fleetSize());
    heard(nowMillis, host);
    updateIfDue(nowMillis);
    if (!leaseHeld.test(nowMillis)) {
      return Optional.empty();
    }
    boolean mayGrow = nowMillis >= settledMillis && members.hasMajority();
    Map<OrganisationId, Double> parts = new HashMap<>();
    Stream.concat(request.demand().keySet().stream(), request.heldParts().keySet().stream())
        .distinct()
        .filter(id -> organisations.get().quota(id).limited())
        .forEach(
            id -> {
              double part =
                  quota(nowMillis, id)
                      .leases()
                      .renew(
                          nowMillis,
                          host,
                          request.demand().getOrDefault(id, 0.0),
                          request.heldParts().getOrDefault(id, 0.0),
                          mayGrow);
              if (part > 0) {
                parts.put(id, part);
              }
            });
    int fleetSize = members.sizeKnown(nowMillis) ? members.reservedSize() : 0;
    return Optional.of(new QuotaLease(request.number(), fleetSize, parts));
  }

  /** Returns a log entry if the least part of a quota that this coordinator may use has changed. */
  public Optional<LogEntry> tick(long nowMillis) {
    updateIfDue(nowMillis);
    if (quotas.isEmpty()) {
      return Optional.empty();
    }
    double least =
        quotas.values().stream().mapToDouble(quota -> quota.part().rate()).min().orElse(1);
    long percent = Math.round(least * PERCENT);
    if (percent == loggedPercent || nowMillis - loggedMillis < LOG_INTERVAL_MILLIS) {
      return Optional.empty();
    }
    loggedPercent = percent;
    loggedMillis = nowMillis;
    return Optional.of(
        LogEntry.of("quota-part")
            .with("percent", percent)
            .with("hosts", members.liveCount())
            .with("fleet", members.size())
            .with("leaseHeld", leaseHeld.test(nowMillis) ? 1 : 0));
  }

  private void heard(long nowMillis, HostId host) {
    boolean known = members.isLive(host);
    members.heard(nowMillis, host);
    if (!known) {
      updateDueMillis = nowMillis;
    }
  }

  private void updateIfDue(long nowMillis) {
    if (nowMillis >= updateDueMillis || known != organisations.get()) {
      update(nowMillis);
    }
  }

  private void update(long nowMillis) {
    updateDueMillis = nowMillis + UPDATE_INTERVAL_MILLIS;
    known = organisations.get();
    boolean held = leaseHeld.test(nowMillis);
    lastLeaseMillis = held ? nowMillis : lastLeaseMillis;
    silenced(nowMillis, members.refresh(nowMillis, held));
    quotas.forEach((id, quota) -> update(nowMillis, id, quota));
    quotas.values().removeIf(quota -> quota.dropped(nowMillis));
  }

  private void update(long nowMillis, OrganisationId id, OrganisationQuota quota) {
    quota.update(
        nowMillis,
        known.quota(id),
        CoordinatorPart.of(
            nowMillis,
            members,
            quota.leases(),
            leaseHeld.test(nowMillis),
            nowMillis - lastLeaseMillis < FleetMembers.MEMORY_MILLIS,
            nowMillis >= settledMillis));
  }

  private void silenced(long nowMillis, List<FleetMembers.Silenced> hosts) {
    hosts.forEach(
        host ->
            quotas
                .values()
                .forEach(quota -> quota.hostSilenced(nowMillis, host, members.reservedSize())));
  }

  private OrganisationQuota quota(long nowMillis, OrganisationId id) {
    OrganisationQuota quota = quotas.get(id);
    if (quota == null) {
      quota = new OrganisationQuota(termStartMillis, known.quota(id));
      // No token was used in this term. Before the leases of earlier terms have expired, the other
      // hosts may have used what they can lease.
      double unused =
          nowMillis >= settledMillis ? 1 : 1 - QuotaParts.LEASED_PART - QuotaParts.RESERVED_PART;
      quota.update(termStartMillis, known.quota(id), new CoordinatorPart(unused, 1));
      quotas.put(id, quota);
      update(nowMillis, id, quota);
    }
    return quota;
  }
}
