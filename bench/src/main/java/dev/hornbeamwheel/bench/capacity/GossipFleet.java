package dev.hornbeamwheel.bench.capacity;

import dev.hornbeamwheel.core.membership.Content;
import dev.hornbeamwheel.core.membership.GossipEffect;
import dev.hornbeamwheel.core.membership.GossipEvent;
import dev.hornbeamwheel.core.membership.GossipMessage;
import dev.hornbeamwheel.core.membership.Item;
import dev.hornbeamwheel.core.membership.ItemKey;
import dev.hornbeamwheel.core.membership.Member;
import dev.hornbeamwheel.core.membership.MemberState;
import dev.hornbeamwheel.core.membership.MembershipReducer;
import dev.hornbeamwheel.core.membership.Role;
import dev.hornbeamwheel.core.membership.Seed;
import dev.hornbeamwheel.core.membership.Topic;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/** Members of six data centres in one process, over an in-memory network in virtual time. */
final class GossipFleet {
  static final int DATA_CENTRES = 6;
  private static final long TICK_MILLIS = 100;
  private static final long NEAR_MILLIS = 2;
  private static final long FAR_MILLIS = 30;

  private final PriorityQueue<Delivery> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Delivery::atMillis).thenComparingLong(Delivery::order));
  private final List<Node> nodes = new ArrayList<>();
  private final Map<MemberId, Node> byId = new HashMap<>();
  private final List<Seed> seeds;
  private final Random random;
  private long nowMillis;
  private long order;
  private long reducerNanos;
  private long sentBytes;
  private long sentMessages;

  GossipFleet(int members, long seed) {
    random = new Random(seed);
    for (int i = 0; i < members; i++) {
      add(new Node(i, random.nextLong(), random.nextInt((int) TICK_MILLIS)));
    }
    seeds =
        nodes.stream()
            .limit(60)
            .map(node -> new Seed(node.id, node.self.dataCentre(), node.self.address()))
            .toList();
  }

  private void add(Node node) {
    nodes.add(node);
    byId.put(node.id, node);
  }

  void advance(long millis) {
    long end = nowMillis + millis;
    while (nowMillis < end) {
      nowMillis++;
      while (!queue.isEmpty() && queue.peek().atMillis() <= nowMillis) {
        Delivery delivery = queue.poll();
        delivery.to.handle(
            new GossipEvent.Received(
                nowMillis, delivery.from.id, delivery.from.self.incarnation(), delivery.message));
      }
      nodes.stream()
          .filter(node -> node.running && (nowMillis + node.phase) % TICK_MILLIS == 0)
          .forEach(node -> node.handle(new GossipEvent.Tick(nowMillis)));
    }
  }

  /** Publishes an item at the first member. */
  void publish(Topic topic, String name, long version, byte[] content) {
    Item item = Item.of(ItemKey.of(topic, name), version, Content.copyOf(content));
    nodes.get(0).handle(new GossipEvent.LocalChange(nowMillis, item));
  }

  /** Returns how many members hold at least this version of an item. */
  long holders(Topic topic, String name, long version) {
    ItemKey key = ItemKey.of(topic, name);
    return nodes.stream()
        .filter(node -> node.membership.item(key).filter(i -> i.version() >= version).isPresent())
        .count();
  }

  /** Returns the least and the mean number of members that a member knows. */
  long leastKnown() {
    return nodes.stream().mapToLong(node -> node.membership.itemCount()).min().orElse(0);
  }

  void kill(int index) {
    nodes.get(index).running = false;
  }

  /** Returns how many running members still believe that a member is present. */
  long believers(int index) {
    return nodes.stream()
        .filter(node -> node.running)
        .filter(
            node ->
                node.membership
                    .member(nodes.get(index).id)
                    .filter(member -> member.state().present())
                    .isPresent())
        .count();
  }

  MembershipReducer reducer(int index) {
    return nodes.get(index).membership;
  }

  int size() {
    return nodes.size();
  }

  void resetCounters() {
    reducerNanos = 0;
    sentBytes = 0;
    sentMessages = 0;
    nodes.forEach(node -> node.bytes = 0);
  }

  long reducerNanos() {
    return reducerNanos;
  }

  long sentBytes() {
    return sentBytes;
  }

  long sentMessages() {
    return sentMessages;
  }

  long mostBytesOfAMember() {
    return nodes.stream().mapToLong(node -> node.bytes).max().orElse(0);
  }

  private record Delivery(long atMillis, long order, Node from, Node to, GossipMessage message) {}

  private final class Node {
    final MemberId id;
    final Member self;
    final MembershipReducer membership;
    final int phase;
    boolean running = true;
    long bytes;

    Node(int index, long seed, int phase) {
      this.id = MemberId.of("host-" + index + "/router");
      this.self =
          new Member(
              id,
              Incarnation.of(seed),
              DataCentreId.of("dc-" + index % DATA_CENTRES),
              Role.ROUTER,
              "10.0." + index / 250 + "." + index % 250 + ":7000",
              MemberState.ALIVE);
      this.membership = MembershipReducer.of(self, seed);
      this.phase = phase;
    }

    void handle(GossipEvent event) {
      if (!running) {
        return;
      }
      long start = System.nanoTime();
      List<GossipEffect> effects = membership.reduce(event);
      reducerNanos += System.nanoTime() - start;
      effects.forEach(this::perform);
    }

    private void perform(GossipEffect effect) {
      if (effect instanceof GossipEffect.Send send) {
        int size = MessageSize.of(send.message());
        Node to = byId.get(send.to());
        bytes += size;
        to.bytes += size;
        sentBytes += size;
        sentMessages++;
        boolean near = to.self.dataCentre().equals(self.dataCentre());
        long delay = (near ? NEAR_MILLIS : FAR_MILLIS) + random.nextInt(3);
        queue.add(new Delivery(nowMillis + delay, order++, this, to, send.message()));
      } else if (effect instanceof GossipEffect.PollHostList) {
        handle(new GossipEvent.HostListRead(nowMillis, seeds));
      }
    }
  }
}
