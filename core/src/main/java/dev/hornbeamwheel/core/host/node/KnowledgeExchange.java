package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.request.RequestEffect;
import dev.hornbeamwheel.core.recovery.Evidence;
import dev.hornbeamwheel.core.recovery.Quarantine;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Turns what one host has learnt of requests and upstreams into messages for all others.
 *
 * <p>Each host keeps all of it, and sends it whole on each new connection, in both directions. So
 * it outlasts any host, the coordinator too.
 */
final class KnowledgeExchange {
  private final Catalog catalog;
  private final Quarantine quarantine;

  KnowledgeExchange(Catalog catalog, Quarantine quarantine) {
    this.catalog = catalog;
    this.quarantine = quarantine;
  }

  /** Returns the message for what this host has just learnt, or empty for another effect. */
  static Optional<HostMessage> messageOf(RequestEffect effect) {
    if (effect instanceof RequestEffect.ReportEvidence report) {
      return Optional.of(new HostMessage.CrashEvidence(List.of(report.evidence())));
    }
    return effect instanceof RequestEffect.ReportLeaving report
        ? Optional.of(new HostMessage.UpstreamsLeaving(List.of(report.upstream())))
        : Optional.empty();
  }

  /** Returns all that this host knows, for a new connection. */
  List<HostMessage> all(long nowMillis) {
    List<HostMessage> messages = new ArrayList<>();
    List<Evidence> evidence = quarantine.evidence(nowMillis);
    if (!evidence.isEmpty()) {
      messages.add(new HostMessage.CrashEvidence(evidence));
    }
    List<UpstreamIncarnation> leaving = catalog.leaving();
    if (!leaving.isEmpty()) {
      messages.add(new HostMessage.UpstreamsLeaving(leaving));
    }
    return messages;
  }

  /** Takes over what another host knows; returns what was new of it, or empty. */
  Optional<HostMessage> takeOver(long nowMillis, HostMessage message) {
    if (message instanceof HostMessage.CrashEvidence crashes) {
      List<Evidence> news =
          crashes.evidence().stream()
              .filter(evidence -> quarantine.add(evidence, nowMillis))
              .toList();
      return news.isEmpty() ? Optional.empty() : Optional.of(new HostMessage.CrashEvidence(news));
    }
    if (message instanceof HostMessage.UpstreamsLeaving leaving) {
      List<UpstreamIncarnation> news =
          leaving.upstreams().stream().filter(catalog::markLeaving).toList();
      return news.isEmpty()
          ? Optional.empty()
          : Optional.of(new HostMessage.UpstreamsLeaving(news));
    }
    return Optional.empty();
  }
}
