package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.keys.KeyLoad;
import dev.hornbeamwheel.core.host.keys.KeyedService;
import dev.hornbeamwheel.core.host.slots.KeyLookup;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Map;
import java.util.Optional;

/** Looks up the owners of keys at the coordinator. */
final class KeyOwners implements KeyLookup {
  private final Map<ServiceId, KeyedService> keyedServices;
  private final LeaseAbsence leaseAbsence;

  /**
   * Creates a lookup.
   *
   * @param keyedServices the services that the coordinator manages; later changes are seen
   * @param leaseAbsence whether the coordinator can hand over keys
   */
  KeyOwners(Map<ServiceId, KeyedService> keyedServices, LeaseAbsence leaseAbsence) {
    this.keyedServices = keyedServices;
    this.leaseAbsence = leaseAbsence;
  }

  @Override
  public Optional<UpstreamId> holder(long nowMillis, ServiceId service, int key) {
    return keyedService(service).flatMap(keyedService -> keyedService.holder(nowMillis, key));
  }

  @Override
  public Optional<UpstreamId> owner(ServiceId service, int key) {
    return keyedService(service).flatMap(keyedService -> keyedService.owner(key));
  }

  @Override
  public KeyLoad load(ServiceId service, int key) {
    return keyedService(service).map(keyedService -> keyedService.load(key)).orElse(KeyLoad.NORMAL);
  }

  @Override
  public long fencingToken(ServiceId service, int key) {
    return keyedService(service).map(keyedService -> keyedService.fencingToken(key)).orElse(0L);
  }

  @Override
  public long readyMillis(long nowMillis, ServiceId service, int key) {
    long readyMillis =
        keyedService(service)
            .map(keyedService -> keyedService.readyMillis(nowMillis, key))
            .orElse(nowMillis);
    return readyMillis <= nowMillis
        ? readyMillis
        : Math.max(readyMillis, leaseAbsence.ordersResumeMillis(nowMillis));
  }

  private Optional<KeyedService> keyedService(ServiceId service) {
    return Optional.ofNullable(keyedServices.get(service));
  }
}
