package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.Decision;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.Heartbeat;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.PromiseRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Collects the effects of one event, batches promise requests and queues messages to this
 * controller.
 */
final class Outbox {
  private final Voter self;
  private final Map<Voter, List<PromiseRequest>> promiseRequests = new LinkedHashMap<>();
  private final Deque<OwnershipMessage> localMessages = new ArrayDeque<>();
  private List<OwnershipEffect> effects = new ArrayList<>();

  Outbox(Voter self) {
    this.self = self;
  }

  void send(MemberId to, OwnershipMessage message) {
    if (to.equals(self.member())) {
      localMessages.add(message);
    } else {
      effects.add(new OwnershipEffect.SendMessage(to, message));
    }
  }

  void addPromiseRequest(Voter voter, PromiseRequest request) {
    promiseRequests.computeIfAbsent(voter, key -> new ArrayList<>()).add(request);
  }

  void add(OwnershipEffect effect) {
    effects.add(effect);
  }

  void log(Decision decision) {
    effects.add(new OwnershipEffect.Log(decision));
  }

  /** Sends the collected promise requests as one heartbeat per voter. */
  void flushHeartbeats(long now) {
    Map<Voter, List<PromiseRequest>> batch = new LinkedHashMap<>(promiseRequests);
    promiseRequests.clear();
    batch.forEach(
        (voter, list) ->
            send(voter.member(), new Heartbeat(voter.incarnation(), now, List.copyOf(list))));
  }

  Optional<OwnershipMessage> pollLocal() {
    return Optional.ofNullable(localMessages.poll());
  }

  List<OwnershipEffect> drain() {
    List<OwnershipEffect> drained = effects;
    effects = new ArrayList<>();
    return drained;
  }
}
