package dev.hornbeamwheel.core.host.fairness;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.OrganisationId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The work that data centres and, within them, organisations have received from one queue, as
 * start-time fair queueing counts it.
 *
 * <p>Each share has a virtual time that advances by the work it receives, in milliseconds of run
 * time; the share with the lowest virtual time is served next. The queue has the virtual time of
 * the latest request served. A share that was not used continues from there, so that it neither
 * claims the work which others have done meanwhile nor pays for it.
 */
public final class FairShares {
  /**
   * Virtual time by which a share may be behind the queue, in run times. Charges are estimates that
   * are corrected when requests end; without a credit, the corrections in favour of a share that is
   * next in line would be lost.
   */
  private static final int MAX_CREDIT_RUNS = 4;

  private final Level<DataCentreId> dataCentres = new Level<>();
  private final Map<DataCentreId, Level<Optional<OrganisationId>>> organisations = new HashMap<>();

  /** The shares of one level of the hierarchy. */
  private static final class Level<K> {
    private final Map<K, Double> virtualMillis = new HashMap<>();
    private double latestMillis;

    double start(K key, double workMillis) {
      double lowest = latestMillis - MAX_CREDIT_RUNS * workMillis;
      return Math.max(virtualMillis.getOrDefault(key, latestMillis), lowest);
    }

    void charge(K key, double workMillis) {
      double start = start(key, workMillis);
      latestMillis = Math.max(latestMillis, start);
      virtualMillis.put(key, start + workMillis);
    }

    void correct(K key, double millis) {
      virtualMillis.computeIfPresent(key, (id, virtual) -> virtual + millis);
    }

    /** Removes the shares that are behind the queue, which new shares do not differ from. */
    void removeUnused(double workMillis) {
      double lowest = latestMillis - MAX_CREDIT_RUNS * workMillis;
      virtualMillis.values().removeIf(virtual -> virtual < lowest);
    }
  }

  /** Charges a request that starts, with its expected run time in milliseconds. */
  public void charge(ShareGroup group, double workMillis) {
    dataCentres.charge(group.dataCentre(), workMillis);
    organisations
        .computeIfAbsent(group.dataCentre(), id -> new Level<>())
        .charge(group.organisation(), workMillis);
  }

  /** Adds the difference of the actual to the expected run time of a request, in milliseconds. */
  public void correct(ShareGroup group, double millis) {
    dataCentres.correct(group.dataCentre(), millis);
    Level<Optional<OrganisationId>> level = organisations.get(group.dataCentre());
    if (level != null) {
      level.correct(group.organisation(), millis);
    }
  }

  /** Forgets the organisations that have not used their share for some time. */
  public void removeUnused(double workMillis) {
    organisations.values().forEach(level -> level.removeUnused(workMillis));
  }

  double start(DataCentreId dataCentre, double workMillis) {
    return dataCentres.start(dataCentre, workMillis);
  }

  double start(ShareGroup group, double workMillis) {
    Level<Optional<OrganisationId>> level = organisations.get(group.dataCentre());
    return level == null ? 0 : level.start(group.organisation(), workMillis);
  }
}
