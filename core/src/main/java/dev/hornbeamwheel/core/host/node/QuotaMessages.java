package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.organisations.CoordinatorQuotas;
import dev.hornbeamwheel.core.host.organisations.QuotaLeaseRequest;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.host.slots.SlotRequestId;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

/** Applies quotas to the messages between hosts and the coordinator. */
final class QuotaMessages {
  private final CoordinatorQuotas quotas;
  private final ConnectedHosts hosts;
  private final BiConsumer<LinkId, HostMessage> sender;

  /**
   * Creates the messages of a term.
   *
   * @param sender sends a message to a host
   */
  QuotaMessages(
      CoordinatorQuotas quotas, ConnectedHosts hosts, BiConsumer<LinkId, HostMessage> sender) {
    this.quotas = quotas;
    this.hosts = hosts;
    this.sender = sender;
  }

  /** Returns whether a slot request may wait for a slot; otherwise it is refused. */
  boolean admitsRequest(long now, LinkId link, HostMessage.SlotRequest request) {
    SlotRequestId ticket = new SlotRequestId(link, request.requestNumber());
    return !refused(
        ticket,
        quotas.requested(now, hosts.host(link), ticket, request.trafficClass().organisation()));
  }

  /** Returns whether the slot of a request may be granted; otherwise the request is refused. */
  boolean admitsGrant(long now, SlotRequestId ticket) {
    return !refused(ticket, quotas.granted(now, ticket));
  }

  /** Renews the lease of a host. */
  void leaseRequested(long now, LinkId link, QuotaLeaseRequest request) {
    hosts
        .host(link)
        .flatMap(host -> quotas.renew(now, host, request))
        .map(HostMessage.GrantQuotaLease::new)
        .ifPresent(lease -> sender.accept(link, lease));
  }

  /** Handles the end of the connection to a host, which is still among the connected hosts. */
  void hostDisconnected(long now, LinkId link) {
    quotas.hostDisconnected(now, link, hosts.host(link));
  }

  /** Returns the log entry that is due, if any. */
  Optional<HostEffect> tick(long now) {
    return quotas.tick(now).map(HostEffect.Log::new);
  }

  private boolean refused(SlotRequestId ticket, OptionalLong retryAfterMillis) {
    retryAfterMillis.ifPresent(
        millis ->
            sender.accept(ticket.link(), new HostMessage.QuotaRefusal(ticket.number(), millis)));
    return retryAfterMillis.isPresent();
  }
}
