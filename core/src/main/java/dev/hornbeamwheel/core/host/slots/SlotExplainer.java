package dev.hornbeamwheel.core.host.slots;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Explains what the coordinator would decide for a slot request, without changing any state on
 * which a decision depends.
 */
public final class SlotExplainer {
  private final Catalog catalog;
  private final KeyLookup keyLookup;
  private final UpstreamLoads loads;
  private final Map<ServiceId, ServiceQueue> queues;
  private final HotKeyQueues hotKeys;

  SlotExplainer(
      Catalog catalog,
      KeyLookup keyLookup,
      UpstreamLoads loads,
      Map<ServiceId, ServiceQueue> queues,
      HotKeyQueues hotKeys) {
    this.catalog = catalog;
    this.keyLookup = keyLookup;
    this.loads = loads;
    this.queues = queues;
    this.hotKeys = hotKeys;
  }

  /** Returns the decision for a request that would arrive now. */
  public SlotForecast forecast(long nowMillis, SlotRequest request) {
    Optional<UpstreamId> keyOwner =
        request.key().isPresent()
            ? keyLookup.owner(request.service(), request.key().getAsInt())
            : Optional.empty();
    List<UpstreamRegistration> eligible =
        request.key().isEmpty()
            ? catalog.usable(request.service())
            : keyOwner.flatMap(catalog::upstream).filter(catalog::usable).stream().toList();
    Map<UpstreamId, String> obstacles =
        eligible.stream()
            .flatMap(
                entry ->
                    obstacle(nowMillis, request, entry)
                        .map(reason -> Map.entry(entry.id(), reason))
                        .stream())
            .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    List<UpstreamRegistration> free =
        eligible.stream().filter(entry -> !obstacles.containsKey(entry.id())).toList();
    boolean hotKey = hotKeys.takes(request);
    return new SlotForecast(
        hotKey ? hotKeys.waitingCount(request) : waitingCount(request, keyOwner),
        eligible.stream()
            .filter(entry -> loads.find(entry.id()).isPresent())
            .mapToDouble(entry -> loads.startsPerSecond(nowMillis, entry))
            .sum(),
        loads.cheapestOf(nowMillis, request, free).map(UpstreamRegistration::id),
        obstacles,
        hotKey);
  }

  private int waitingCount(SlotRequest request, Optional<UpstreamId> keyOwner) {
    ServiceQueue queue = queues.get(request.service());
    return queue == null ? 0 : queue.waitingCount(keyOwner);
  }

  /** Returns why an upstream cannot start the request now, or empty if it can. */
  private Optional<String> obstacle(
      long nowMillis, SlotRequest request, UpstreamRegistration entry) {
    if (request.excludedUpstreams().contains(entry.id())) {
      return Optional.of("not usable from this host now");
    }
    if (request.key().isPresent() && !holdsKey(nowMillis, request, entry)) {
      return Optional.of("owns the key, but does not hold it yet");
    }
    if (hotKeys.takes(request) && !hotKeys.startsNow(nowMillis, request)) {
      return Optional.of("has no slot left for the key, which is hot");
    }
    return loads.obstacle(nowMillis, entry);
  }

  private boolean holdsKey(long nowMillis, SlotRequest request, UpstreamRegistration entry) {
    return keyLookup
        .holder(nowMillis, request.service(), request.key().orElseThrow())
        .filter(entry.id()::equals)
        .isPresent();
  }
}
