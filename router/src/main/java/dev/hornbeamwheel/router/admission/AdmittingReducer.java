package dev.hornbeamwheel.router.admission;

import dev.hornbeamwheel.core.Decision;
import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.limits.Admission;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.node.NodeEffect;
import dev.hornbeamwheel.core.node.NodeEvent;
import dev.hornbeamwheel.core.node.RouterNode;
import dev.hornbeamwheel.core.routing.RoutingEffect;
import dev.hornbeamwheel.core.routing.RoutingEvent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Lets a request through to routing only if its contract admits it, and counts its end. */
public final class AdmittingReducer implements Reducer<NodeEvent, RouterEffect> {
  private final RouterNode node;
  private final Map<RequestId, ContractId> admitted = new HashMap<>();

  private AdmittingReducer(RouterNode node) {
    this.node = node;
  }

  /** Returns a reducer in front of a node. */
  public static AdmittingReducer of(RouterNode node) {
    return new AdmittingReducer(node);
  }

  @Override
  public List<RouterEffect> reduce(NodeEvent event) {
    if (event instanceof NodeEvent.Routing routing
        && routing.event() instanceof RoutingEvent.RequestArrived arrived) {
      return admit(arrived, event);
    }
    return pass(event);
  }

  private List<RouterEffect> admit(RoutingEvent.RequestArrived arrived, NodeEvent event) {
    Admission admission = node.limits().admit(arrived.contract(), arrived.atMillis());
    if (admission.admitted()) {
      admitted.put(arrived.requestId(), arrived.contract());
      return pass(event);
    }
    long retryAfterMillis = node.limits().retryAfterMillis(arrived.contract(), arrived.atMillis());
    return List.of(
        new RouterEffect.Node(new NodeEffect.Log(refusal(arrived, admission))),
        new RouterEffect.LimitReached(arrived.requestId(), retryAfterMillis));
  }

  private List<RouterEffect> pass(NodeEvent event) {
    List<NodeEffect> effects = node.reduce(event);
    List<RouterEffect> passed = new ArrayList<>(effects.size());
    for (NodeEffect effect : effects) {
      countEnd(effect);
      passed.add(new RouterEffect.Node(effect));
    }
    return passed;
  }

  private void countEnd(NodeEffect effect) {
    if (effect instanceof NodeEffect.Routing routing
        && routing.effect() instanceof RoutingEffect.Answer answer) {
      ContractId contract = admitted.remove(answer.requestId());
      if (contract != null) {
        node.limits().finished(contract);
      }
    }
  }

  private static Decision refusal(RoutingEvent.RequestArrived arrived, Admission admission) {
    return new Decision(
        "refuse",
        "contract limit: " + admission,
        arrived.service().value(),
        0,
        0,
        "",
        arrived.contract().value(),
        arrived.requestId().value());
  }
}
