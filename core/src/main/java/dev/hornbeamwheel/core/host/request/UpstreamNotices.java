package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Takes over what upstreams say of themselves in their responses, and decides by it. */
final class UpstreamNotices {
  private final Catalog catalog;
  private final LocalUpstreamSelector selector;
  private final UpstreamClosures closures;
  private final RequestLog log;

  UpstreamNotices(Catalog catalog, LocalUpstreamSelector selector, RequestLog log) {
    this.catalog = catalog;
    this.selector = selector;
    this.closures = new UpstreamClosures(catalog);
    this.log = log;
  }

  /** Returns the upstreams that have asked this host for no requests now. */
  UpstreamClosures closures() {
    return closures;
  }

  /** Takes over what the upstream of a request has said. */
  List<RequestEffect> received(long nowMillis, InFlightRequest request, UpstreamNotice notice) {
    if (notice.equals(UpstreamNotice.NONE)) {
      return List.of();
    }
    UpstreamIncarnation upstream = request.upstream.incarnation();
    List<RequestEffect> effects = new ArrayList<>();
    effects.add(log.noticeReceived(request, notice));
    if (notice.leaving()) {
      effects.addAll(leaving(upstream));
    }
    if (notice.retryAfterMillis() > 0) {
      closures.close(nowMillis, upstream, notice.retryAfterMillis());
    }
    return effects;
  }

  /** Takes over that an upstream leaves, as it said in its response to an order. */
  List<RequestEffect> leaving(UpstreamId upstream) {
    return catalog
        .upstream(upstream)
        .map(UpstreamRegistration::incarnation)
        .map(this::leaving)
        .orElse(List.of());
  }

  private List<RequestEffect> leaving(UpstreamIncarnation upstream) {
    return catalog.markLeaving(upstream)
        ? List.of(new RequestEffect.ReportLeaving(upstream))
        : List.of();
  }

  /**
   * Returns the time until a request can be sent to any upstream that may run it, in milliseconds;
   * empty if it can be sent now.
   */
  OptionalLong closedMillis(long nowMillis, InFlightRequest request) {
    if (!request.keyed) {
      return closures.allClosedMillis(nowMillis, request.service);
    }
    return selector
        .owner(request.service, request.key())
        .map(owner -> closures.shortest(nowMillis, List.of(owner)))
        .orElse(OptionalLong.empty());
  }
}
