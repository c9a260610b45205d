package dev.hornbeamwheel.core.host.capacity;

/**
 * The learned limit of the number of requests that one upstream runs at once.
 *
 * <p>The limit is lowered when run times at the limit are longer than at low concurrency by so much
 * that the last slots add little throughput. Each lowering is a trial: it is kept only if the
 * throughput stays, so that an upstream that is slow at any concurrency keeps its slots. A lowered
 * limit is raised by probes, each kept only if the throughput grows.
 *
 * <p>Run times are used as logarithms of their ratio to the usual run time of their kind. A
 * cumulative sum of them, each clipped, detects a change: it needs about seven samples for run
 * times that have doubled, and single outliers do not reach its threshold.
 */
public final class ConcurrencyLimit {
  /** Lowest limit; an upstream with fewer slots has no learned limit. */
  private static final int MIN_LIMIT = 2;

  /** Distance from the reference at which a sample is clipped, as a logarithm. */
  private static final double MAX_SHIFT = 0.8;

  /** Least growth of run times for which the limit is lowered, as a logarithm: 28 %. */
  private static final double MIN_GROWTH = 0.25;

  /**
   * Fraction of the throughput that added slots add to an unloaded upstream; the limit is raised
   * only if they add more than the rest of it.
   */
  private static final double ACCEPTED_GROWTH = 0.6;

  /** Cumulative sum at which the limit is lowered: seven samples of doubled run times. */
  private static final double ALARM = 2.8;

  /** Samples after which a trial is decided. */
  private static final int TRIAL_SAMPLES = 8;

  /** Samples after which a trial is decided if its result is clear. */
  private static final int EARLY_TRIAL_SAMPLES = 4;

  /** Distance from the threshold of a trial at which its result is clear, as a logarithm. */
  private static final double CLEAR_GAIN = 0.25;

  /** Samples after which a probe is decided; fewer than for a trial, since a probe adds load. */
  private static final int PROBE_SAMPLES = 4;

  /** Cumulative sum at which a probe ends early. */
  private static final double PROBE_ALARM = 1.2;

  /** Fraction of the throughput that a trial must keep, as a logarithm: 90 %. */
  private static final double MAX_THROUGHPUT_LOSS = 0.105;

  /**
   * Time between a change and a probe, in milliseconds; after a probe that succeeded there is none.
   */
  private static final long PROBE_INTERVAL_MILLIS = 800;

  /** Cumulative sum at which the limit is lowered soon after a trial that failed. */
  private static final double HELD_ALARM = 2 * ALARM;

  /** Time for which a trial that failed has that effect, in milliseconds; doubles with each. */
  private static final long MIN_HOLD_MILLIS = 2_000;

  private static final long MAX_HOLD_MILLIS = 32_000;

  /** Time after which a trial or a probe without enough samples ends, in milliseconds. */
  private static final long MAX_PHASE_MILLIS = 6_000;

  /** Age of the reference after which a full upstream tries a lower limit, in milliseconds. */
  private static final long MAX_REFERENCE_AGE_MILLIS = 30_000;

  /** Weights of a sample at low concurrency and at the limit. */
  private static final double REFERENCE_WEIGHT = 0.05;

  private static final double LATEST_WEIGHT = 0.15;
  private static final int MIN_REFERENCE_SAMPLES = 5;

  /** Weight of a sample at the limit in the provisional reference. */
  private static final double PROVISIONAL_WEIGHT = 0.01;

  /** Samples at the limit after which a trial is made if there is no reference. */
  private static final int SAMPLES_WITHOUT_REFERENCE = 16;

  private enum Phase {
    SETTLED,
    /** Tries a lower limit. */
    TRIAL,
    /** Tries a higher limit. */
    PROBE
  }

  private final TrialBudget budget;
  private int slots;
  private int limit;
  private int settledLimit;
  private Phase phase = Phase.SETTLED;
  private boolean renewal;
  private long changedMillis;
  private long nextProbeMillis;
  private long holdMillis = MIN_HOLD_MILLIS;
  private long heldUntilMillis;

  /** Mean logarithm of the relative run time at low concurrency, and the number of its samples. */
  private double reference;

  private int referenceSamples;
  private long referenceMillis;

  /** The same at the limit over a longer past, used until there is a reference. */
  private double provisional;

  /** The same at the settled limit. */
  private double latest;

  private int latestSamples;

  private double cumulative;

  /** Sum and number of the growths since the cumulative sum was last zero. */
  private double growthSum;

  private int growthSamples;
  private double phaseSum;
  private int phaseSamples;

  private ConcurrencyLimit(int slots, TrialBudget budget) {
    this.slots = slots;
    this.limit = slots;
    this.settledLimit = slots;
    this.budget = budget;
  }

  /** Returns the limit of an upstream of which nothing is known: its slots. */
  public static ConcurrencyLimit create(int slots, TrialBudget budget) {
    return new ConcurrencyLimit(slots, budget);
  }

  /** Returns the number of requests that the upstream may run at once now. */
  public int limit() {
    return limit;
  }

  /** Returns the limit without the trial or the probe that is going on. */
  public int settledLimit() {
    return settledLimit;
  }

  /** Starts anew if the declared slots have changed. */
  public void updateSlots(int declaredSlots) {
    if (declaredSlots != slots) {
      close();
      slots = declaredSlots;
      limit = declaredSlots;
      settledLimit = declaredSlots;
      latestSamples = 0;
      resetGrowth();
    }
  }

  /** Ends a trial, so that it no longer counts in the budget of the service. */
  public void close() {
    if (phase == Phase.TRIAL && renewal) {
      budget.endRenewal();
    } else if (phase == Phase.TRIAL) {
      budget.end();
    }
    phase = Phase.SETTLED;
  }

  /** Ends a trial or a probe that has got too few samples. */
  public void tick(long nowMillis) {
    if (phase != Phase.SETTLED && nowMillis - changedMillis > MAX_PHASE_MILLIS) {
      settle(nowMillis, settledLimit);
    }
  }

  /**
   * Records the run time of a served request.
   *
   * @param startMillis time at which the request started
   * @param running mean number of requests that the upstream ran meanwhile, itself included
   * @param relativeRun run time relative to the usual one of the kind of request
   */
  public void record(long nowMillis, long startMillis, int running, double relativeRun) {
    if (slots <= MIN_LIMIT || (phase != Phase.SETTLED && startMillis < changedMillis)) {
      return;
    }
    double sample = Math.log(relativeRun);
    if (running <= lowConcurrency()) {
      recordReference(nowMillis, sample);
    }
    // After a limit was lowered, requests that started before still slow down the others.
    if (4 * running > 3 * limit && running <= limit) {
      recordAtLimit(nowMillis, sample);
    }
  }

  private int lowConcurrency() {
    return Math.max(MIN_LIMIT, slots / 4);
  }

  private void recordReference(long nowMillis, double sample) {
    double weight = Math.max(REFERENCE_WEIGHT, 1.0 / (referenceSamples + 1));
    double clipped = referenceSamples == 0 ? sample : clip(sample, reference);
    reference += weight * (clipped - reference);
    referenceSamples++;
    referenceMillis = nowMillis;
  }

  private boolean referenceKnown() {
    return referenceSamples >= MIN_REFERENCE_SAMPLES;
  }

  private void recordAtLimit(long nowMillis, double sample) {
    if (phase == Phase.SETTLED) {
      recordSettled(nowMillis, sample);
    } else if (phase == Phase.TRIAL) {
      recordTrial(nowMillis, sample);
    } else {
      recordProbe(nowMillis, sample);
    }
  }

  private void recordSettled(long nowMillis, double sample) {
    double weight = Math.max(LATEST_WEIGHT, 1.0 / (latestSamples + 1));
    latest += weight * ((latestSamples == 0 ? sample : clip(sample, latest)) - latest);
    latestSamples++;
    double provisionalWeight = Math.max(PROVISIONAL_WEIGHT, 1.0 / latestSamples);
    provisional += provisionalWeight * (clip(sample, latest) - provisional);
    double growth = clip(sample, usual()) - usual();
    addGrowth(growth, toleratedGrowth());
    if (limit > MIN_LIMIT && startTrial(nowMillis)) {
      startPhase(nowMillis, Phase.TRIAL, lowerLimit());
    } else if (limit < slots && cumulative < ALARM / 2 && nowMillis >= nextProbeMillis) {
      startPhase(nowMillis, Phase.PROBE, Math.min(slots, limit + Math.max(1, limit / 4)));
    }
  }

  /** Returns the mean that the run times at the limit are compared with. */
  private double usual() {
    return referenceKnown() ? reference : provisional;
  }

  private void addGrowth(double growth, double tolerated) {
    cumulative = Math.max(0, cumulative + growth - tolerated);
    growthSum = cumulative > 0 ? growthSum + growth : 0;
    growthSamples = cumulative > 0 ? growthSamples + 1 : 0;
  }

  /** Starts a trial if there is a reason and the budget permits it; returns whether it does. */
  private boolean startTrial(long nowMillis) {
    if (cumulative > (nowMillis < heldUntilMillis ? HELD_ALARM : ALARM)) {
      renewal = false;
      // The moving average lags behind a change that has just been detected.
      latest = usual() + growthSum / growthSamples;
      return budget.start();
    }
    boolean referenceOld =
        !referenceKnown() || nowMillis - referenceMillis > MAX_REFERENCE_AGE_MILLIS;
    renewal = referenceOld && latestSamples >= SAMPLES_WITHOUT_REFERENCE && budget.startRenewal();
    return renewal;
  }

  /** Returns the growth of run times up to which the last slot still adds throughput. */
  private double toleratedGrowth() {
    return Math.max(MIN_GROWTH, ACCEPTED_GROWTH * Math.log(limit / (limit - 1.0)));
  }

  /** Returns the concurrency at which the present throughput is possible without slower runs. */
  private int lowerLimit() {
    double growth = Math.max(0, latest - usual());
    int sufficient = (int) Math.round(limit * Math.exp(-growth));
    return Math.max(Math.max(MIN_LIMIT, limit / 2), Math.min(limit - 1, sufficient));
  }

  private void startPhase(long nowMillis, Phase next, int nextLimit) {
    phase = next;
    limit = nextLimit;
    changedMillis = nowMillis;
    resetGrowth();
    phaseSum = 0;
    phaseSamples = 0;
  }

  private void recordTrial(long nowMillis, double sample) {
    phaseSum += clip(sample, latest);
    phaseSamples++;
    double mean = phaseSum / phaseSamples;
    double gain = Math.log((double) limit / settledLimit) + latest - mean + MAX_THROUGHPUT_LOSS;
    boolean clear = phaseSamples >= EARLY_TRIAL_SAMPLES && Math.abs(gain) > CLEAR_GAIN;
    if (phaseSamples < TRIAL_SAMPLES && !clear) {
      return;
    }
    if (!renewal) {
      budget.recordResult(gain >= 0);
    }
    if (gain >= 0) {
      holdMillis = MIN_HOLD_MILLIS;
      latest = mean;
      settle(nowMillis, limit);
    } else {
      if (!renewal) {
        heldUntilMillis = nowMillis + holdMillis;
        holdMillis = Math.min(MAX_HOLD_MILLIS, 2 * holdMillis);
      }
      // The run times do not depend on the concurrency: they are the new reference.
      reference = mean;
      referenceSamples = Math.max(referenceSamples, MIN_REFERENCE_SAMPLES);
      referenceMillis = nowMillis;
      settle(nowMillis, settledLimit);
    }
  }

  private void recordProbe(long nowMillis, double sample) {
    double growth = clip(sample, latest) - latest;
    double accepted = ACCEPTED_GROWTH * Math.log((double) limit / settledLimit);
    phaseSum += growth;
    phaseSamples++;
    cumulative = Math.max(0, cumulative + growth - accepted);
    boolean slower = phaseSamples >= PROBE_SAMPLES && phaseSum / phaseSamples > accepted;
    if (cumulative > PROBE_ALARM || slower) {
      settle(nowMillis, settledLimit);
    } else if (phaseSamples >= PROBE_SAMPLES) {
      latest += phaseSum / phaseSamples;
      settle(nowMillis, limit);
      nextProbeMillis = nowMillis;
    }
  }

  private void settle(long nowMillis, int settled) {
    close();
    limit = settled;
    settledLimit = settled;
    changedMillis = nowMillis;
    nextProbeMillis = nowMillis + PROBE_INTERVAL_MILLIS;
    resetGrowth();
  }

  private void resetGrowth() {
    cumulative = 0;
    growthSum = 0;
    growthSamples = 0;
  }

  private static double clip(double sample, double centre) {
    return Math.max(centre - MAX_SHIFT, Math.min(centre + MAX_SHIFT, sample));
  }
}
