package dev.hornbeamwheel.router.flow;

import dev.hornbeamwheel.router.http.CallerExchange;
import dev.hornbeamwheel.router.upstream.RunningAttempt;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** One request in flight with its attempts; confined to the event loop but for the attempts. */
final class InFlightRequest {
  private final CallerExchange caller;
  private final Map<Integer, AnswerGate> gates = new ConcurrentHashMap<>();
  private final Map<Integer, RunningAttempt> attempts = new ConcurrentHashMap<>();

  InFlightRequest(CallerExchange caller) {
    this.caller = caller;
  }

  CallerExchange caller() {
    return caller;
  }

  AnswerGate open(int attempt) {
    return gates.computeIfAbsent(attempt, number -> new AnswerGate());
  }

  void started(int attempt, RunningAttempt running) {
    attempts.put(attempt, running);
  }

  void ended(int attempt) {
    attempts.remove(attempt);
  }

  void cancelAll() {
    attempts.keySet().forEach(this::cancel);
  }

  void let(int attempt) {
    open(attempt).let();
  }

  void cancel(int attempt) {
    open(attempt).refuse();
    RunningAttempt running = attempts.get(attempt);
    if (running != null) {
      running.cancel();
    }
  }
}
