package dev.hornbeamwheel.core.host.capacity;

import dev.hornbeamwheel.core.model.RouteId;
import dev.hornbeamwheel.core.model.UpstreamId;

/** The learned run times and the learned concurrency limit of one upstream. */
public final class UpstreamCapacity {
  /**
   * A request as it started.
   *
   * @param route kind of the request
   * @param startMillis time at which it started
   * @param running number of requests that the upstream ran then, itself included
   * @param noisy whether the machine was unusually slow then
   */
  public record Start(RouteId route, long startMillis, int running, boolean noisy) {}

  private final UpstreamId upstream;
  private final ServiceCapacity service;
  private final LoweredLimits loweredLimits;
  private final UpstreamSlowness slowness;
  private final ConcurrencyLimit limit;
  private final MachineNoise noise = MachineNoise.create();
  private int slots;

  private UpstreamCapacity(
      UpstreamId upstream, int slots, ServiceCapacity service, LoweredLimits loweredLimits) {
    this.upstream = upstream;
    this.slots = slots;
    this.service = service;
    this.loweredLimits = loweredLimits;
    this.limit = ConcurrencyLimit.create(slots, service.trials());
    this.slowness = service.work().upstream(upstream);
    service.trials().addUpstream();
  }

  /**
   * Returns the capacity of an upstream of which nothing is known.
   *
   * @param loweredLimits receives the limit of the upstream when it changes
   */
  public static UpstreamCapacity create(
      UpstreamId upstream, int slots, ServiceCapacity service, LoweredLimits loweredLimits) {
    return new UpstreamCapacity(upstream, slots, service, loweredLimits);
  }

  /** Returns the number of requests that may run at once now, given the declared slots. */
  public int limit(int declaredSlots) {
    slots = declaredSlots;
    limit.updateSlots(declaredSlots);
    return limit.limit();
  }

  /** Returns the limit without trials, which the throughput is computed from. */
  public int settledLimit(int declaredSlots) {
    slots = declaredSlots;
    limit.updateSlots(declaredSlots);
    return limit.settledLimit();
  }

  /** Returns the mean run time of the requests of the service here, in milliseconds. */
  public double meanRunMillis() {
    return service.work().meanRunMillis() * slowness.value();
  }

  /** Returns the run times here relative to the mean of the service. */
  public double slowness() {
    return slowness.value();
  }

  /** Returns the start of a request; {@code running} includes it. */
  public Start start(long nowMillis, RouteId route, int running) {
    return new Start(route, nowMillis, running, noise.noisy());
  }

  /** Records the work that the upstream reports, in percent of the usual; zero if unknown. */
  public void recordWork(int workPercent) {
    noise.record(workPercent);
  }

  /**
   * Records a served request.
   *
   * @param running number of requests that the upstream ran until now, itself included
   * @param comparable whether the upstream was warm, so that its run time shows its load
   */
  public void recordServed(
      long nowMillis, Start start, long runMillis, int running, boolean comparable) {
    WorkModel work = service.work();
    boolean learned = comparable && service.learnsLimit(slots);
    if (learned && work.knows(start.route()) && !start.noisy() && !noise.noisy()) {
      int meanRunning = (start.running() + running + 1) / 2;
      double relativeRun = work.relativeRun(start.route(), runMillis);
      limit.record(nowMillis, start.startMillis(), meanRunning, relativeRun);
      loweredLimits.update(upstream, limit.settledLimit(), slots);
    }
    work.recordServed(nowMillis, start.route(), upstream, runMillis);
  }

  /** Records a request that had not ended after a run time in milliseconds. */
  public void recordTimedOut(Start start, long runMillis) {
    service.work().recordTimedOut(start.route(), upstream, runMillis);
  }

  /** Ends trials that got too few samples. */
  public void tick(long nowMillis) {
    limit.tick(nowMillis);
  }

  /** Removes the upstream from its service. */
  public void close() {
    limit.close();
    service.trials().removeUpstream();
    service.work().remove(upstream);
  }
}
