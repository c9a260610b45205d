package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.buffers.BufferLimits;
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
 * @param dataCentre data centre in which the host runs
 * @param callerAddress listen address for callers
 * @param readinessAddress listen address for the load balancer's readiness checks
 * @param peerAddress listen address for other hosts
 * @param metricsAddress listen address for metrics
 * @param storeAddress address of the platform's store
 * @param holdMaxMillis longest time for which upstreams accept to hold keys, in milliseconds
 * @param capacity capacity of the host for coordinating
 * @param graceMillis time from the stop signal until the process is killed, in milliseconds
 * @param plannedHosts maximum number of hosts of the deployment, which share the upstreams while
 *     there is no coordinator; zero if hosts are not limited then
 * @param minLearnedSlots least number of slots of an upstream whose concurrency limit is learned;
 *     zero if none is
 * @param bufferLimits limits on the bytes that the host buffers for its callers, in the settings as
 *     {@code bufferMebibytes}; zero if they are not limited
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
    long graceMillis,
    int plannedHosts,
    int minLearnedSlots,
    BufferLimits bufferLimits) {
  private static final int MAX_HOLD_MILLIS = 600_000;
  private static final int MAX_GRACE_SECONDS = 600;
  private static final int MAX_PLANNED_HOSTS = 10_000;
  private static final int MAX_LEARNED_SLOTS = 10_000;
  private static final int MILLIS_PER_SECOND = 1_000;
  private static final int MAX_BUFFER_MEBIBYTES = 1_024;
  private static final long BYTES_PER_MEBIBYTE = 1 << 20;

  /** Upper bound of {@code processorCores} and of {@code processorSpeed}. */
  private static final int MAX_PROCESSOR_SETTING = 1_024;

  private static final int MAX_MEGABITS_PER_SECOND = 1_000_000;

  /** Maximum length of a decimal number, in characters. */
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
        (long) document.integer("graceSeconds", 1, MAX_GRACE_SECONDS) * MILLIS_PER_SECOND,
        document.integer("plannedHosts", 0, MAX_PLANNED_HOSTS, 0),
        document.integer("minLearnedSlots", 0, MAX_LEARNED_SLOTS, 0),
        bufferLimits(document.integer("bufferMebibytes", 0, MAX_BUFFER_MEBIBYTES, 0)));
  }

  private static BufferLimits bufferLimits(int mebibytes) {
    return mebibytes == 0
        ? BufferLimits.unlimited()
        : BufferLimits.of(mebibytes * BYTES_PER_MEBIBYTE);
  }

  private static HostCapacity capacity(SettingsObject document) {
    double cores = optionalDecimal(document, "processorCores", MAX_PROCESSOR_SETTING, 0);
    double speed = optionalDecimal(document, "processorSpeed", MAX_PROCESSOR_SETTING, 1);
    double megabits =
        optionalDecimal(document, "linkMegabitsPerSecond", MAX_MEGABITS_PER_SECOND, 0);
    return HostCapacity.of(speed > 0 ? cores * speed : cores, megabits);
  }

  /** Returns a decimal number that is written as a string, or a default if it is missing. */
  private static double optionalDecimal(
      SettingsObject document, String field, int max, double defaultValue) {
    return document
        .optionalValue(field, text -> parseDecimal(text, max))
        .map(BigDecimal::doubleValue)
        .orElse(defaultValue);
  }

  private static BigDecimal parseDecimal(String text, int max) {
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
