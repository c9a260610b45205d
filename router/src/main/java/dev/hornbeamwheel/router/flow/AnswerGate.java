package dev.hornbeamwheel.router.flow;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Holds the answer of an attempt back until routing lets it pass to the caller. */
final class AnswerGate {
  private final CompletableFuture<Boolean> decision = new CompletableFuture<>();

  void let() {
    decision.complete(true);
  }

  void refuse() {
    decision.complete(false);
  }

  /** Waits for the decision, and takes none within {@code millis} for a refusal. */
  boolean await(long millis) {
    try {
      return decision.get(millis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } catch (ExecutionException | TimeoutException e) {
      return false;
    }
  }
}
