package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/** The upstreams that have asked this host for no requests for a time. */
final class UpstreamClosures {
  /** Maximum time for which an upstream is left alone at its request, in milliseconds. */
  static final long MAX_CLOSED_MILLIS = 60_000;

  /** Maximum number of upstreams kept; further ones are not left alone. */
  static final int MAX_UPSTREAMS = 5_000;

  private final Catalog catalog;
  private final Map<UpstreamIncarnation, Long> closedUntilMillis = new HashMap<>();

  UpstreamClosures(Catalog catalog) {
    this.catalog = catalog;
  }

  /** Leaves an upstream alone for a time, from now on. */
  void close(long nowMillis, UpstreamIncarnation upstream, long millis) {
    closedUntilMillis.values().removeIf(until -> nowMillis >= until);
    if (closedUntilMillis.size() < MAX_UPSTREAMS) {
      closedUntilMillis.merge(upstream, nowMillis + Math.min(millis, MAX_CLOSED_MILLIS), Math::max);
    }
  }

  /** Returns the time until an upstream may get requests, in milliseconds; zero if it may now. */
  long closedMillis(long nowMillis, UpstreamRegistration upstream) {
    Long until = closedUntilMillis.get(upstream.incarnation());
    return until == null ? 0 : Math.max(0, until - nowMillis);
  }

  /** Returns the upstreams that may get no requests now. */
  Set<UpstreamId> closed(long nowMillis) {
    return closedUntilMillis.isEmpty()
        ? Set.of()
        : closedUntilMillis.entrySet().stream()
            .filter(entry -> nowMillis < entry.getValue())
            .map(entry -> entry.getKey().id())
            .collect(Collectors.toSet());
  }

  /**
   * Returns the time until any upstream of a service may get requests, in milliseconds; empty if
   * one may now or none is known.
   */
  OptionalLong allClosedMillis(long nowMillis, ServiceId service) {
    return closedUntilMillis.isEmpty()
        ? OptionalLong.empty()
        : shortest(nowMillis, catalog.usable(service));
  }

  /**
   * Returns the time until any of some upstreams may get requests, in milliseconds; empty if one
   * may now or there are none.
   */
  OptionalLong shortest(long nowMillis, Collection<UpstreamRegistration> upstreams) {
    List<Long> closed =
        upstreams.stream().map(upstream -> closedMillis(nowMillis, upstream)).toList();
    return closed.isEmpty() || closed.contains(0L)
        ? OptionalLong.empty()
        : closed.stream().mapToLong(millis -> millis).min();
  }
}
