package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.model.ServiceId;
import java.util.HashMap;
import java.util.Map;

/** Counts the completed requests of each shard and of the hottest keys between two reports. */
final class LoadCounters {
  /** Interval between load reports. */
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

  /** Reports and resets the counts if the report interval has passed. */
  void tick(long nowMillis, Outbox outbox) {
    if (nowMillis - reportedAtMillis >= REPORT_MILLIS) {
      reportedAtMillis = nowMillis;
      services.forEach((service, load) -> load.report(service, outbox));
    }
  }
}
