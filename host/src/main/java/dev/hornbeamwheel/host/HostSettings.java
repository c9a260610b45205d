package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.lease.HostCapacity;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.runtime.settings.SettingsObject;
import java.math.BigDecimal;

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
 * @param capacity how much coordinating the host can bear
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
    HostCapacity capacity,
    long graceMillis) {
  private static final int MAX_HOLD_MILLIS = 600_000;
  private static final int MAX_GRACE_SECONDS = 600;
  private static final int MILLIS_PER_SECOND = 1_000;

  private static final int MAX_PROCESSOR_SETTING = 1_024;
  private static final int MAX_MEGABITS_PER_SECOND = 1_000_000;
  private static final int MAX_DECIMAL_LENGTH = 32;

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
        capacity(document),
        (long) document.integer("graceSeconds", 1, MAX_GRACE_SECONDS) * MILLIS_PER_SECOND);
  }

  private static HostCapacity capacity(SettingsObject document) {
    double cores = number(document, "processorCores", MAX_PROCESSOR_SETTING, 0);
    double speed = number(document, "processorSpeed", MAX_PROCESSOR_SETTING, 1);
    double megabits = number(document, "linkMegabitsPerSecond", MAX_MEGABITS_PER_SECOND, 0);
    return HostCapacity.of(speed > 0 ? cores * speed : cores, megabits);
  }

  /** Returns a decimal number that is written as a text, or another value if it is left out. */
  private static double number(SettingsObject document, String field, int max, double absent) {
    return document
        .optionalValue(field, text -> number(text, max))
        .map(BigDecimal::doubleValue)
        .orElse(absent);
  }

  private static BigDecimal number(String text, int max) {
    if (text.length() <= MAX_DECIMAL_LENGTH) {
      try {
        BigDecimal number = new BigDecimal(text);
        if (number.signum() >= 0 && number.compareTo(BigDecimal.valueOf(max)) <= 0) {
          return number;
        }
      } catch (NumberFormatException e) {
        throw new IllegalArgumentException("write a decimal number from 0 to " + max, e);
      }
    }
    throw new IllegalArgumentException("write a decimal number from 0 to " + max);
  }
}
