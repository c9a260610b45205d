package dev.hornbeamwheel.router;

import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.node.NodeEffect;
import dev.hornbeamwheel.core.routing.RoutingEffect;
import dev.hornbeamwheel.router.admission.RouterEffect;
import dev.hornbeamwheel.router.flow.RequestsInFlight;
import dev.hornbeamwheel.router.http.ContractDirectory;
import dev.hornbeamwheel.runtime.loop.EffectPerformer;
import dev.hornbeamwheel.runtime.member.MemberIo;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Carries out the effects of a router, on the event loop. */
final class RouterPerformer implements EffectPerformer<RouterEffect> {
  private final MemberIo io;
  private final RequestsInFlight flow;
  private final RouterMetrics metrics;
  private final Consumer<ContractDirectory> directory;
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();

  RouterPerformer(
      MemberIo io,
      RequestsInFlight flow,
      RouterMetrics metrics,
      Consumer<ContractDirectory> directory) {
    this.io = io;
    this.flow = flow;
    this.metrics = metrics;
    this.directory = directory;
  }

  /** Returns a future that completes when routing has no request left after a planned stop. */
  CompletableFuture<Void> stopped() {
    return stopped;
  }

  @Override
  public void perform(RouterEffect effect) {
    if (effect instanceof RouterEffect.LimitReached limit) {
      metrics.refusedByLimit();
      flow.limitReached(limit.requestId(), limit.retryAfterMillis());
    } else if (effect instanceof RouterEffect.Node node && !io.perform(node.effect())) {
      performNode(node.effect());
    }
  }

  private void performNode(NodeEffect effect) {
    if (effect instanceof NodeEffect.Routing routing) {
      performRouting(routing.effect());
    } else if (effect instanceof NodeEffect.ConfigurationInForce inForce) {
      configure(inForce.configuration());
    }
  }

  private void configure(Configuration configuration) {
    flow.configure(configuration);
    directory.accept(ContractDirectory.of(configuration));
    metrics.configurationInForce(configuration.version());
  }

  private void performRouting(RoutingEffect effect) {
    if (effect instanceof RoutingEffect.CallUpstream call) {
      metrics.attempted();
      flow.call(call);
    } else if (effect instanceof RoutingEffect.StreamResponse answer) {
      flow.stream(answer);
    } else if (effect instanceof RoutingEffect.CancelAttempt attempt) {
      flow.cancel(attempt);
    } else if (effect instanceof RoutingEffect.EndRequest answer) {
      metrics.answered(answer.outcome(), answer.problem());
      flow.answer(answer);
    } else if (effect instanceof RoutingEffect.Stopped) {
      stopped.complete(null);
    }
  }
}
