package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.runtime.settings.SettingsObject;

/**
 * Settings of an entry host.
 *
 * @param host name of the host
 * @param dataCentre where it runs
 * @param callerAddress where callers connect
 * @param readinessAddress where the balancer asks whether the host is ready
 * @param peerAddress where other hosts connect
 * @param metricsAddress where metrics are read
 * @param storeAddress the platform's store
 * @param holdMaxMillis longest hold of keys that upstreams accept, in milliseconds
 * @param graceMillis time from the signal to stop until the process is killed, in milliseconds
 */
record HostSettings(
    HostId host,
    DataCentreId dataCentre,
    Address callerAddress,
    Address readinessAddress,
    Address peerAddress,
    Address metricsAddress,
    Address storeAddress,
    long holdMaxMillis,
    long graceMillis) {
  private static final int MAX_HOLD_MILLIS = 600_000;
  private static final int MAX_GRACE_SECONDS = 600;
  private static final int MILLIS_PER_SECOND = 1_000;

  static HostSettings read(SettingsObject document) {
    return new HostSettings(
        document.value("host", HostId::of),
        document.value("dataCentre", DataCentreId::of),
        document.value("callerAddress", Address::parse),
        document.value("readinessAddress", Address::parse),
        document.value("peerAddress", Address::parse),
        document.value("metricsAddress", Address::parse),
        document.value("storeAddress", Address::parse),
        document.integer("holdMaxMillis", 1_000, MAX_HOLD_MILLIS),
        (long) document.integer("graceSeconds", 1, MAX_GRACE_SECONDS) * MILLIS_PER_SECOND);
  }
}
