package dev.hornbeamwheel.router.admission;

import dev.hornbeamwheel.core.Decision;
import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.limits.Admission;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.node.NodeEffect;
import dev.hornbeamwheel.core.node.NodeEvent;
import dev.hornbeamwheel.core.node.PeerMessage;
import dev.hornbeamwheel.core.node.RouterNode;
import dev.hornbeamwheel.core.routing.RoutingEffect;
import dev.hornbeamwheel.core.routing.RoutingEvent;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;

/**
 * Lets a request through to routing only if its contract admits it, and counts its end.
 *
 * <p>Shares follow the demand of each router, so a request for which there is no room in the share
 * yet waits a short time for it to grow.
 */
public final class AdmittingReducer implements Reducer<NodeEvent, RouterEffect> {
  /** Longest time that a request waits for its contract's share to follow, in milliseconds. */
  private static final long SHARE_WAIT_MILLIS = 500;

  /** Requests that wait at once; the others are refused as soon as they come. */
  private static final int MAX_WAITING = 64;

  private final RouterNode node;
  private final Map<RequestId, ContractId> admitted = new HashMap<>();
  private final Queue<RoutingEvent.RequestArrived> waiting = new ArrayDeque<>();

  private AdmittingReducer(RouterNode node) {
    this.node = node;
  }

  /** Returns a reducer in front of a node. */
  public static AdmittingReducer of(RouterNode node) {
    return new AdmittingReducer(node);
  }

  @Override
  public List<RouterEffect> reduce(NodeEvent event) {
    List<RouterEffect> effects = new ArrayList<>();
    if (event instanceof NodeEvent.Routing routing
        && routing.event() instanceof RoutingEvent.RequestArrived arrived) {
      admit(arrived, effects);
    } else {
      pass(event, effects);
    }
    if (mayChangeShares(event)) {
      retryWaiting(event.atMillis(), effects);
    }
    return effects;
  }

  private static boolean mayChangeShares(NodeEvent event) {
    return event instanceof NodeEvent.Tick
        || (event instanceof NodeEvent.Received received
            && received.message() instanceof PeerMessage.Limits);
  }

  private void admit(RoutingEvent.RequestArrived arrived, List<RouterEffect> effects) {
    Admission admission = node.limits().admit(arrived.contract(), arrived.atMillis());
    if (admission.admitted()) {
      route(arrived, effects);
    } else if (mayHelpToWait(admission) && waiting.size() < MAX_WAITING) {
      waiting.add(arrived);
    } else {
      refuse(arrived, admission, effects);
    }
  }

  private void route(RoutingEvent.RequestArrived arrived, List<RouterEffect> effects) {
    admitted.put(arrived.requestId(), arrived.contract());
    pass(new NodeEvent.Routing(arrived), effects);
  }

  private void refuse(
      RoutingEvent.RequestArrived arrived, Admission admission, List<RouterEffect> effects) {
    long retryAfterMillis = node.limits().retryAfterMillis(arrived.contract(), arrived.atMillis());
    effects.add(new RouterEffect.Node(new NodeEffect.Log(refusal(arrived, admission))));
    effects.add(new RouterEffect.LimitReached(arrived.requestId(), retryAfterMillis));
  }

  /** Tries the requests again that wait for room in the share of their contract. */
  private void retryWaiting(long nowMillis, List<RouterEffect> effects) {
    for (int i = waiting.size(); i > 0; i--) {
      RoutingEvent.RequestArrived arrived = waiting.remove();
      Admission admission = node.limits().admit(arrived.contract(), nowMillis);
      if (admission.admitted()) {
        route(at(nowMillis, arrived), effects);
      } else if (mayHelpToWait(admission) && mayWait(arrived, nowMillis)) {
        waiting.add(arrived);
      } else {
        refuse(at(nowMillis, arrived), admission, effects);
      }
    }
  }

  /** Returns whether a share that follows the demand may soon have room for the request. */
  private static boolean mayHelpToWait(Admission admission) {
    return admission == Admission.NO_SHARE || admission == Admission.RATE_EXCEEDED;
  }

  private static boolean mayWait(RoutingEvent.RequestArrived arrived, long nowMillis) {
    return nowMillis < Math.min(arrived.atMillis() + SHARE_WAIT_MILLIS, arrived.deadlineMillis());
  }

  private static RoutingEvent.RequestArrived at(
      long nowMillis, RoutingEvent.RequestArrived arrived) {
    return new RoutingEvent.RequestArrived(
        nowMillis,
        arrived.requestId(),
        arrived.contract(),
        arrived.service(),
        arrived.key(),
        arrived.idempotent(),
        arrived.idempotencyKey(),
        arrived.fingerprint(),
        arrived.deadlineMillis());
  }

  private void pass(NodeEvent event, List<RouterEffect> effects) {
    for (NodeEffect effect : node.reduce(event)) {
      countEnd(effect);
      effects.add(new RouterEffect.Node(effect));
    }
  }

  private void countEnd(NodeEffect effect) {
    if (effect instanceof NodeEffect.Routing routing
        && routing.effect() instanceof RoutingEffect.EndRequest answer) {
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
