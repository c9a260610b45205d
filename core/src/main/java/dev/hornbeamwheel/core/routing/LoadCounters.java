package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.model.ServiceId;
import java.util.HashMap;
import java.util.Map;

/** Counts the answered requests of each shard and of the hottest keys between two reports. */
final class LoadCounters {
  /** Time between two reports. */
  private static final long REPORT_MILLIS = 1_000;

  private final Map<ServiceId, ServiceLoad> services = new HashMap<>();
  private long reportedAtMillis = Long.MIN_VALUE / 2;

  void add(RequestState request, long runMillis) {
    ServiceId id = request.service.id();
    ServiceLoad load = services.get(id);
    if (load == null || load.shards() != request.service.shards()) {
      load = new ServiceLoad(request.service.shards());
      services.put(id, load);
    }
    load.add(request.shard, request.keyHash, request.isolatedKeyHash != 0, runMillis);
  }

  /** Reports what was counted, if it is time, and starts over. */
  void tick(long nowMillis, Outbox outbox) {
    if (nowMillis - reportedAtMillis >= REPORT_MILLIS) {
      reportedAtMillis = nowMillis;
      services.forEach((service, load) -> load.report(service, outbox));
    }
  }
}
