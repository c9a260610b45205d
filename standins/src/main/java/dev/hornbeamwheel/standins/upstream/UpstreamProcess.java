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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One start of an upstream: its slots, its queue and what it was granted. */
final class UpstreamProcess {
  private final Upstream declared;
  private final Service service;
  private final Incarnation incarnation;
  private final UpstreamSettings settings;
  private final Clock clock;
  private final ScheduledExecutorService timer;
  private final FreezeGate gate;
  private final RunLog runs;
  private final Grants grants;
  private final ColdStartGuard coldStart;
  private final LaggingLoad load;
  private final Deque<Work> queue = new ArrayDeque<>();
  private final Map<RequestId, Work> running = new HashMap<>();
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
    } else if (check(request, now) instanceof Grants.Check.Refused refused) {
      responder.refuse(refused.reason());
    } else if (!coldStart.tryAdmit(now)) {
      runs.addShedWhileCold();
      responder.refuse(RefusalReason.SHED);
    } else if (queue.size() >= settings.queueLimit() && running.size() >= declared.slots()) {
      responder.refuse(RefusalReason.SHED);
    } else {
      Grants.Check.Held held = (Grants.Check.Held) check(request, now);
      queue.add(new Work(request, responder, held.holding()));
      fillSlots();
    }
  }

  /** Cancels a request; returns whether it was waiting or running. */
  synchronized boolean cancel(RequestId id) {
    Work waiting =
        queue.stream().filter(work -> work.request.id().equals(id)).findFirst().orElse(null);
    if (waiting != null) {
      queue.remove(waiting);
      waiting.responder.refuse(RefusalReason.CANCELLED);
      return true;
    }
    Work active = running.remove(id);
    if (active == null) {
      return false;
    }
    active.responder.refuse(RefusalReason.CANCELLED);
    fillSlots();
    return true;
  }

  synchronized List<UpstreamReply> obey(List<UpstreamOrder> orders) {
    return orders.stream()
        .map(order -> grants.obey(order, clock.millis(), this::unfinished))
        .toList();
  }

  synchronized boolean holds(Slice slice) {
    return !ended && grants.holds(slice, clock.millis());
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
    Stream.concat(queue.stream(), running.values().stream()).forEach(work -> work.responder.drop());
    queue.clear();
    running.clear();
  }

  private Grants.Check check(UpstreamRequest request, long nowMillis) {
    if (!service.keyed()) {
      return new Grants.Check.Held(Grants.Holding.NOT_NEEDED);
    }
    return request
        .slice()
        .map(slice -> grants.check(slice, request.epoch(), nowMillis))
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
    } else if (check(work.request, now) instanceof Grants.Check.Refused refused) {
      work.responder.refuse(refused.reason());
    } else {
      work.startedAtMillis = now;
      running.put(work.request.id(), work);
      long millis = settings.serviceMillis() * (now < slowUntilMillis ? slowFactor : 1);
      var unused =
          timer.schedule(() -> gate.pass(() -> finish(work)), millis, TimeUnit.MILLISECONDS);
    }
  }

  /** Commits a request, unless it was cancelled or its lease has lapsed meanwhile. */
  private synchronized void finish(Work work) {
    long now = clock.millis();
    if (ended || running.get(work.request.id()) != work) {
      return;
    }
    running.remove(work.request.id());
    if (grants.unbroken(work.holding, now)) {
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
        Stream.concat(queue.stream(), running.values().stream())
            .filter(work -> work.request.slice().map(slices::contains).orElse(false))
            .count();
  }

  private void recordLoad() {
    load.record(clock.millis(), running.size(), queue.size(), draining);
  }
}
