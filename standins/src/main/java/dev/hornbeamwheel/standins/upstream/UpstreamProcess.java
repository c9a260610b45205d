package dev.hornbeamwheel.standins.upstream;

import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.ownership.UpstreamOrder;
import dev.hornbeamwheel.core.ownership.UpstreamReply;
import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.platform.LoadReport;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One start of an upstream: its slots, its queue and what it was granted. */
final class UpstreamProcess {
  /** Clocks of upstreams differ by up to this much, as no two machines share one. */
  private static final long MAX_CLOCK_OFFSET_MILLIS = 1_000_000;

  private final Upstream declared;
  private final Service service;
  private final Incarnation incarnation;
  private final UpstreamSettings settings;
  private final Clock clock;
  private final long clockOffsetMillis;
  private final ScheduledExecutorService timer;
  private final FreezeGate gate;
  private final RunLog runs;
  private final Grants grants;
  private final ColdStartGuard coldStart;
  private final LaggingLoad load;
  private final Deque<Work> queue = new ArrayDeque<>();
  private final Set<Work> running = new LinkedHashSet<>();
  private boolean draining;
  private boolean ended;
  private int slowFactor = 1;
  private long slowUntilMillis;

  UpstreamProcess(
      Upstream declared,
      Service service,
      Incarnation incarnation,
      UpstreamSettings settings,
      boolean warm,
      Environment environment,
      FreezeGate gate) {
    this.declared = declared;
    this.service = service;
    this.incarnation = incarnation;
    this.settings = settings;
    this.clock = environment.clock();
    this.clockOffsetMillis = Math.floorMod(incarnation.value(), MAX_CLOCK_OFFSET_MILLIS);
    this.timer = environment.timer();
    this.runs = environment.runs();
    this.gate = gate;
    this.grants = new Grants(service.fencing(), incarnation);
    this.coldStart = new ColdStartGuard(service.coldStart(), warm);
    this.load = new LaggingLoad(settings.loadLagMillis());
  }

  /** What all upstreams of this process share. */
  record Environment(Clock clock, ScheduledExecutorService timer, RunLog runs) {}

  Incarnation incarnation() {
    return incarnation;
  }

  /** Admits a request to the queue or refuses it. */
  synchronized void submit(UpstreamRequest request, Responder responder) {
    long now = clock.millis();
    if (ended) {
      responder.drop();
    } else if (draining) {
      responder.refuse(RefusalReason.DRAINING);
    } else if (now >= request.deadlineAtMillis()) {
      responder.refuse(RefusalReason.EXPIRED);
    } else if (check(request) instanceof Grants.Check.Refused refused) {
      responder.refuse(refused.reason());
    } else if (!coldStart.tryAdmit(now)) {
      runs.addShedWhileCold();
      responder.refuse(RefusalReason.SHED);
    } else if (queue.size() >= settings.queueLimit() && running.size() >= declared.slots()) {
      responder.refuse(RefusalReason.SHED);
    } else {
      Grants.Check.Held held = (Grants.Check.Held) check(request);
      queue.add(new Work(request, responder, held.holding()));
      fillSlots();
    }
  }

  /** Cancels all copies of a request; returns whether one was waiting or running. */
  synchronized boolean cancel(RequestId id) {
    List<Work> copies =
        Stream.concat(queue.stream(), running.stream())
            .filter(work -> work.request.id().equals(id))
            .toList();
    queue.removeAll(copies);
    running.removeAll(copies);
    copies.forEach(work -> work.responder.refuse(RefusalReason.CANCELLED));
    fillSlots();
    return !copies.isEmpty();
  }

  synchronized List<UpstreamReply> obey(List<UpstreamOrder> orders) {
    return orders.stream().map(order -> grants.obey(order, ownMillis(), this::unfinished)).toList();
  }

  synchronized boolean holds(Slice slice) {
    return !ended && grants.holds(slice, ownMillis());
  }

  synchronized LoadReport load() {
    long now = clock.millis();
    LaggingLoad.Sample sample = load.read(now);
    return new LoadReport(
        declared.id(),
        incarnation,
        sample.running(),
        sample.queued(),
        now - sample.atMillis(),
        sample.draining());
  }

  synchronized void drain(boolean on) {
    draining = on;
    recordLoad();
  }

  synchronized void turnCold() {
    coldStart.turnCold();
  }

  synchronized void slow(int factor, long forMillis) {
    slowFactor = factor;
    slowUntilMillis = clock.millis() + forMillis;
  }

  /** Ends this start; what has not committed never takes effect. */
  synchronized void end() {
    ended = true;
    Stream.concat(queue.stream(), running.stream()).forEach(work -> work.responder.drop());
    queue.clear();
    running.clear();
  }

  private Grants.Check check(UpstreamRequest request) {
    if (!service.keyed()) {
      return new Grants.Check.Held(Grants.Holding.NOT_NEEDED);
    }
    return request
        .slice()
        .map(slice -> grants.check(slice, request.epoch(), ownMillis()))
        .orElse(new Grants.Check.Refused(RefusalReason.MALFORMED));
  }

  private void fillSlots() {
    while (running.size() < declared.slots() && !queue.isEmpty()) {
      begin(queue.remove());
    }
    recordLoad();
  }

  /** Checks again what may have changed while the request waited, and starts it. */
  private void begin(Work work) {
    long now = clock.millis();
    if (now >= work.request.deadlineAtMillis()) {
      work.responder.refuse(RefusalReason.EXPIRED);
    } else if (check(work.request) instanceof Grants.Check.Refused refused) {
      work.responder.refuse(refused.reason());
    } else {
      work.startedAtMillis = now;
      running.add(work);
      if (work.responder.crashes()) {
        return;
      }
      long millis = settings.serviceMillis() * (now < slowUntilMillis ? slowFactor : 1);
      var unused =
          timer.schedule(() -> gate.pass(() -> finish(work)), millis, TimeUnit.MILLISECONDS);
    }
  }

  /** Commits a request, unless it was cancelled or its lease has lapsed meanwhile. */
  private synchronized void finish(Work work) {
    long now = clock.millis();
    if (ended || !running.remove(work)) {
      return;
    }
    if (grants.unbroken(work.holding, ownMillis())) {
      coldStart.completed(now);
      runs.add(record(work, now));
      work.responder.answer();
    } else {
      work.responder.refuse(RefusalReason.NOT_OWNER);
    }
    fillSlots();
  }

  private RunRecord record(Work work, long now) {
    UpstreamRequest request = work.request;
    return new RunRecord(
        declared.id(),
        Long.toString(incarnation.value()),
        request.id().value(),
        request.method(),
        request.path(),
        request.key(),
        request.idempotencyKey(),
        work.startedAtMillis,
        now);
  }

  private int unfinished(Collection<Slice> slices) {
    return (int)
        Stream.concat(queue.stream(), running.stream())
            .filter(work -> work.request.slice().map(slices::contains).orElse(false))
            .count();
  }

  /** Returns the reading of this upstream's own clock. */
  private long ownMillis() {
    return clock.millis() + clockOffsetMillis;
  }

  private void recordLoad() {
    load.record(clock.millis(), running.size(), queue.size(), draining);
  }
}
