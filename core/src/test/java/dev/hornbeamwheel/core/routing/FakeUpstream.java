package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.virtual.VirtualTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/** An upstream with slots that sheds load and can be made to freeze, crash or respond wrongly. */
final class FakeUpstream {
  /** Fault to inject into the next response. */
  enum ResponseFault {
    NONE,
    MISMATCHED,
    TRUNCATED,
    TRUNCATED_WITHOUT_VALIDATOR,
    LOST
  }

  /** Result of a call as its router observes it. */
  record Reply(long incarnation, boolean started, AttemptOutcome outcome) {}

  private static final long RESTART_MILLIS = 400;

  final Upstream declared;
  private final VirtualTime time;
  private final ExecutionHistory history;
  private final Random random;
  private final Set<Long> crashingFingerprints;
  private final Map<Object, Consumer<Reply>> running = new HashMap<>();
  long incarnation = 1;
  boolean down;
  long frozenUntilMillis;
  ResponseFault nextFault = ResponseFault.NONE;

  FakeUpstream(
      Upstream declared,
      VirtualTime time,
      ExecutionHistory ledger,
      Random random,
      Set<Long> poison) {
    this.declared = declared;
    this.time = time;
    this.history = ledger;
    this.random = random;
    this.crashingFingerprints = poison;
    started();
  }

  void call(
      RoutingEffect.CallUpstream call, RoutingEvent.RequestArrived request, Consumer<Reply> reply) {
    if (down) {
      reply.accept(new Reply(0, false, new AttemptOutcome.FailedBeforeSend()));
      return;
    }
    if (running.size() >= declared.slots()) {
      reply.accept(new Reply(incarnation, false, new AttemptOutcome.Refused(Refusal.SHED)));
      return;
    }
    history.runs.add(
        new ExecutionHistory.Run(
            call.requestId(),
            request.idempotencyKey(),
            request.fingerprint(),
            declared.id(),
            time.nowMillis()));
    Object token = new Object();
    running.put(token, reply);
    long frozenMillis = Math.max(0, frozenUntilMillis - time.nowMillis());
    if (crashingFingerprints.contains(request.fingerprint())) {
      time.after(frozenMillis + 3, () -> crash(token));
    } else {
      time.after(frozenMillis + 5 + random.nextInt(20), () -> complete(call, token));
    }
  }

  void crash() {
    if (down) {
      return;
    }
    down = true;
    running.values().forEach(r -> r.accept(lostReply()));
    running.clear();
    time.after(RESTART_MILLIS, this::started);
  }

  private void crash(Object token) {
    if (running.containsKey(token)) {
      crash();
    }
  }

  private void started() {
    down = false;
    incarnation += 1;
    history
        .starts
        .computeIfAbsent(declared.id(), u -> new ArrayList<>())
        .add(new ExecutionHistory.Start(time.nowMillis()));
  }

  private void complete(RoutingEffect.CallUpstream call, Object token) {
    Consumer<Reply> reply = running.remove(token);
    if (reply == null) {
      return;
    }
    var starts = history.starts.get(declared.id());
    ExecutionHistory.Start latest = starts.get(starts.size() - 1);
    latest.firstCompletionMillis = Math.min(latest.firstCompletionMillis, time.nowMillis());
    ResponseFault fault = nextFault;
    nextFault = ResponseFault.NONE;
    long half = Math.max(call.resumeOffset(), ExecutionHistory.RESPONSE_BYTES / 2);
    switch (fault) {
      case MISMATCHED -> reply.accept(new Reply(0, false, new AttemptOutcome.MismatchedResponse()));
      case LOST -> reply.accept(lostReply());
      case TRUNCATED ->
          reply.accept(
              new Reply(
                  incarnation, true, new AttemptOutcome.TruncatedResponse(half, "v1", false)));
      case TRUNCATED_WITHOUT_VALIDATOR ->
          reply.accept(
              new Reply(incarnation, true, new AttemptOutcome.TruncatedResponse(half, null, true)));
      default -> reply.accept(new Reply(incarnation, true, new AttemptOutcome.Completed(200)));
    }
  }

  private static Reply lostReply() {
    return new Reply(0, false, new AttemptOutcome.ConnectionLost());
  }
}
