package dev.hornbeamwheel.router.flow;

import dev.hornbeamwheel.core.routing.AttemptOutcome;
import dev.hornbeamwheel.core.routing.RoutingEvent;
import dev.hornbeamwheel.router.http.CallerExchange;
import dev.hornbeamwheel.router.upstream.AnswerHead;
import dev.hornbeamwheel.router.upstream.AttemptListener;
import java.io.IOException;

/** Passes the answer of one attempt to the caller and its progress to routing. */
final class AttemptRelay implements AttemptListener {
  private final InFlightRequest request;
  private final CallerExchange caller;
  private final int attempt;
  private final AnswerGate gate;
  private final long timeoutMillis;
  private final RoutingInbox inbox;

  AttemptRelay(InFlightRequest request, int attempt, long timeoutMillis, RoutingInbox inbox) {
    this.request = request;
    this.caller = request.caller();
    this.attempt = attempt;
    this.gate = request.open(attempt);
    this.timeoutMillis = timeoutMillis;
    this.inbox = inbox;
  }

  @Override
  public boolean started(AnswerHead head) {
    inbox.post(
        now ->
            new RoutingEvent.ResponseStarted(
                now, caller.id(), attempt, head.incarnation(), head.validator()));
    if (!gate.await(timeoutMillis)) {
      return false;
    }
    caller.begin(head);
    return true;
  }

  @Override
  public void body(byte[] buffer, int length) throws IOException {
    try {
      caller.write(buffer, length);
    } catch (IOException e) {
      inbox.post(now -> new RoutingEvent.CallerDisconnected(now, caller.id()));
      throw e;
    }
  }

  @Override
  public void finished(AttemptOutcome outcome, long incarnation) {
    request.ended(attempt);
    inbox.post(
        now -> new RoutingEvent.AttemptFinished(now, caller.id(), attempt, incarnation, outcome));
  }
}
