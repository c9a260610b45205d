package dev.hornbeamwheel.core.membership;

import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.placement.Rendezvous;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Decides what a member tells its peers, and what it believes of them.
 *
 * <p>A fresh change is pushed at once from peer to peer; what a push missed is found by comparing
 * digests with random peers. Only a few members of a data centre, its bridges, gossip with other
 * data centres. Each member is watched by a few neighbours of its data centre.
 */
public final class MembershipReducer implements Reducer<GossipEvent, GossipEffect> {
  private final Member self;
  private final Random random;
  private final ItemStore store = new ItemStore();
  private final MemberTable table;
  private final FailureDetector detector = new FailureDetector();
  private final Beacons beacons;
  private final Refutation refutation;
  private final Exchange exchange;
  private final Schedule schedule = new Schedule();
  private long generation = 1;
  private MemberState ownState = MemberState.ALIVE;

  private List<GossipEffect> effects = new ArrayList<>();
  private List<Member> changedMembers = new ArrayList<>();
  private List<Item> learnedItems = new ArrayList<>();
  private Set<ItemKey> fresh = new HashSet<>();

  private MembershipReducer(Member self, long seed, Refutation refutation) {
    this.self = self;
    this.random = new Random(seed);
    this.table = new MemberTable(self);
    this.beacons = new Beacons(self.dataCentre());
    this.refutation = refutation;
    this.exchange = new Exchange(store, beacons);
  }

  /**
   * Returns the reducer of one process.
   *
   * @param self the process, in state {@link MemberState#ALIVE}
   * @param seed of the random choice of peers
   */
  public static MembershipReducer of(Member self, long seed) {
    return withRefutation(self, seed, Refutation.ALWAYS);
  }

  /** Returns a reducer with a rule of its own, for tests that show what the rule prevents. */
  static MembershipReducer withRefutation(Member self, long seed, Refutation refutation) {
    MembershipReducer reducer = new MembershipReducer(self, seed, refutation);
    reducer.store.merge(MemberCodec.item(self, reducer.generation), 0);
    return reducer;
  }

  /** Returns what is known of a member. */
  public Optional<Member> member(MemberId id) {
    return table.find(id);
  }

  /** Returns the newest version of an item that this process holds. */
  public Optional<Item> item(ItemKey key) {
    return store.find(key);
  }

  /** Returns the number of items held, members included. */
  public int itemCount() {
    return store.size();
  }

  @Override
  public List<GossipEffect> reduce(GossipEvent event) {
    long nowMillis = event.atMillis();
    if (event instanceof GossipEvent.Tick) {
      tick(nowMillis);
    } else if (event instanceof GossipEvent.Received received) {
      receive(received, nowMillis);
    } else if (event instanceof GossipEvent.LocalChange change) {
      learn(change.item(), nowMillis);
      learnedItems.clear();
      push(Optional.empty(), true, nowMillis);
    } else if (event instanceof GossipEvent.LocalReport report) {
      send(report.to(), new GossipMessage.Report(report.item()));
    } else if (event instanceof GossipEvent.HostListRead read) {
      table.seeds(read.seeds());
      read.seeds().forEach(seed -> beacons.expect(seed.dataCentre(), nowMillis));
    } else if (event instanceof GossipEvent.Unreachable unreachable) {
      detector.refused(unreachable.member());
    } else if (event instanceof GossipEvent.Leaving) {
      leave(nowMillis);
    }
    return flush();
  }

  private void leave(long nowMillis) {
    ownState = MemberState.LEFT;
    announceSelf(nowMillis);
    push(Optional.empty(), true, nowMillis);
  }

  private void tick(long nowMillis) {
    table.refresh();
    if (schedule.resumedAfterPause(nowMillis)) {
      detector.restartWaiting(nowMillis);
      beacons.restartWaiting(nowMillis);
    }
    if (schedule.heartbeatDue(nowMillis)) {
      table.watchers().forEach(watcher -> send(watcher, new GossipMessage.Heartbeat()));
    }
    suspect(nowMillis);
    raiseBeacon(nowMillis);
    if (schedule.digestDue(nowMillis)) {
      sendDigests(nowMillis);
    }
    pollHostList(nowMillis);
    if (schedule.expiryDue(nowMillis)) {
      store.expire(nowMillis).stream()
          .filter(key -> key.topic() == Topic.MEMBER)
          .forEach(key -> table.remove(MemberId.of(key.name())));
    }
  }

  private void suspect(long nowMillis) {
    detector.silent(table.watched(), nowMillis).stream()
        .filter(id -> hasState(id, MemberState.ALIVE))
        .forEach(id -> declare(id, MemberState.SUSPECT, nowMillis));
    detector.unrefuted(nowMillis).stream()
        .filter(id -> hasState(id, MemberState.SUSPECT))
        .forEach(id -> declare(id, MemberState.LOST, nowMillis));
    push(Optional.empty(), false, nowMillis);
  }

  private boolean hasState(MemberId id, MemberState state) {
    return table.find(id).filter(member -> member.state() == state).isPresent();
  }

  private void declare(MemberId id, MemberState state, long nowMillis) {
    store
        .find(MemberCodec.key(id))
        .map(item -> MemberCodec.withState(item, state))
        .filter(item -> learn(item, nowMillis))
        .ifPresent(
            item -> {
              ItemKey own = MemberCodec.key(self.id());
              List<ItemChange> both =
                  List.of(store.latestChange(own, nowMillis), new ItemChange.Whole(item));
              send(id, new GossipMessage.Changes(both));
            });
  }

  private void raiseBeacon(long nowMillis) {
    boolean first = table.bridgeRank() == 0;
    beacons.raiseOwn(first, nowMillis);
    if (beacons.update(nowMillis)) {
      effects.add(new GossipEffect.UnreachableDataCentres(beacons.unreachable()));
    }
  }

  private void sendDigests(long nowMillis) {
    List<MemberId> peers = table.peers();
    int strayOneIn = Math.max(2, Math.min(GossipTiming.STRAY_DIGEST_ONE_IN, peers.size() / 2));
    boolean stray = peers.isEmpty() || random.nextInt(strayOneIn) == 0;
    if (!peers.isEmpty()) {
      send(any(peers), exchange.digest());
    }
    if (stray && !table.strays().isEmpty()) {
      introduceTo(any(table.strays()), nowMillis);
    }
    if (table.isBridge() && !table.farBridges().isEmpty()) {
      introduceTo(any(any(List.copyOf(table.farBridges().values()))), nowMillis);
    }
  }

  /** Sends a digest to a member that may not know where to send its answer. */
  private void introduceTo(MemberId to, long nowMillis) {
    ItemChange own = store.latestChange(MemberCodec.key(self.id()), nowMillis);
    send(to, new GossipMessage.Changes(List.of(own)));
    send(to, exchange.digest());
  }

  private void pollHostList(long nowMillis) {
    boolean lonely = table.peers().isEmpty() && table.farBridges().isEmpty();
    if (!schedule.hostListDue(lonely, nowMillis)) {
      return;
    }
    List<MemberId> all = Stream.concat(table.peers().stream(), Stream.of(self.id())).toList();
    if (Rendezvous.isAmongTopWeighted(self.id(), all, "hosts", GossipTiming.HOST_LIST_POLLERS)) {
      effects.add(new GossipEffect.PollHostList());
    }
  }

  private void receive(GossipEvent.Received received, long nowMillis) {
    MemberId from = received.from();
    detector.heard(from, nowMillis);
    GossipMessage message = received.message();
    if (message instanceof GossipMessage.Digest digest) {
      beacons.merge(digest.beacons(), nowMillis);
      exchange.answer(digest).ifPresent(answer -> send(from, answer));
    } else if (message instanceof GossipMessage.Versions versions) {
      beacons.merge(versions.beacons(), nowMillis);
      exchange.reconcile(versions, nowMillis).forEach(answer -> send(from, answer));
      if (!versions.buckets().isEmpty()) {
        schedule.hastenDigest(nowMillis);
      }
    } else if (message instanceof GossipMessage.Pull pull) {
      exchange.changesFor(pull.held(), nowMillis).forEach(answer -> send(from, answer));
    } else if (message instanceof GossipMessage.Announce announce) {
      exchange.pull(announce.versions()).ifPresent(pull -> send(from, pull));
    } else if (message instanceof GossipMessage.Changes changes) {
      learnAll(from, changes.changes(), nowMillis);
    } else if (message instanceof GossipMessage.Report report) {
      learnedItems.add(report.item());
    }
  }

  private void learnAll(MemberId from, List<ItemChange> changes, long nowMillis) {
    List<ItemVersion> missing = new ArrayList<>();
    List<ItemVersion> stale = new ArrayList<>();
    for (ItemChange change : changes) {
      ItemVersion held = store.stamp(change.key());
      Optional<Item> item = exchange.resolve(change);
      if (exchange.target(change).isAfter(held)) {
        item.ifPresentOrElse(newer -> learn(newer, nowMillis), () -> missing.add(held));
      } else if (held.isAfter(exchange.target(change))) {
        stale.add(exchange.target(change));
      }
    }
    if (!missing.isEmpty()) {
      send(from, new GossipMessage.Pull(missing));
    }
    exchange.changesFor(stale, nowMillis).forEach(answer -> send(from, answer));
    push(Optional.of(from), false, nowMillis);
  }

  /** Keeps an item if it is newer than the one held; returns whether it was. */
  private boolean learn(Item item, long nowMillis) {
    if (item.key().equals(MemberCodec.key(self.id()))) {
      refute(item, nowMillis);
      return false;
    }
    if (!store.merge(item, nowMillis)) {
      return false;
    }
    if (store.ageMillis(item.key(), nowMillis) < GossipTiming.FRESH_MILLIS) {
      fresh.add(item.key());
    }
    if (item.key().topic() == Topic.MEMBER) {
      learnMember(item, nowMillis);
    } else {
      learnedItems.add(item);
    }
    return true;
  }

  private void learnMember(Item item, long nowMillis) {
    Member member = MemberCodec.member(item);
    table.put(member);
    beacons.expect(member.dataCentre(), nowMillis);
    changedMembers.add(member);
    if (member.state() == MemberState.SUSPECT && member.dataCentre().equals(self.dataCentre())) {
      detector.suspected(member.id(), item.version(), nowMillis);
    } else {
      detector.cleared(member.id());
    }
  }

  /** Answers a row about this process that this process did not write. */
  private void refute(Item row, long nowMillis) {
    Item own = MemberCodec.item(self.withState(ownState), generation);
    if (row.stamp().equals(own.stamp()) || !refutation.refutes(row.version(), own.version())) {
      return;
    }
    generation = MemberCodec.generation(row.version()) + 1;
    announceSelf(nowMillis);
  }

  private void announceSelf(long nowMillis) {
    Item own = MemberCodec.item(self.withState(ownState), generation);
    store.merge(own, nowMillis);
    fresh.add(own.key());
  }

  /** Pushes all fresh items to random peers and, from a bridge, to other data centres. */
  private void push(Optional<MemberId> source, boolean toBridges, long nowMillis) {
    if (fresh.isEmpty()) {
      return;
    }
    List<GossipMessage> messages = exchange.pushes(fresh, nowMillis);
    fresh = new HashSet<>();
    Set<MemberId> targets = new HashSet<>();
    List<MemberId> peers = table.peers();
    for (int i = 0; i < GossipTiming.FAN_OUT && !peers.isEmpty(); i++) {
      targets.add(any(peers));
    }
    if (toBridges) {
      targets.addAll(table.ownBridges());
    }
    if (table.isBridge()) {
      table.farBridges().values().forEach(bridges -> targets.add(any(bridges)));
    }
    targets.remove(self.id());
    source.ifPresent(targets::remove);
    targets.stream().sorted().forEach(target -> messages.forEach(message -> send(target, message)));
  }

  private <T> T any(List<T> list) {
    return list.get(random.nextInt(list.size()));
  }

  private void send(MemberId to, GossipMessage message) {
    table
        .address(to)
        .ifPresent(address -> effects.add(new GossipEffect.Send(to, address, message)));
  }

  private List<GossipEffect> flush() {
    if (!changedMembers.isEmpty()) {
      effects.add(new GossipEffect.MembersChanged(changedMembers));
      changedMembers = new ArrayList<>();
    }
    if (!learnedItems.isEmpty()) {
      effects.add(new GossipEffect.ItemsLearned(learnedItems));
      learnedItems = new ArrayList<>();
    }
    List<GossipEffect> result = effects;
    effects = new ArrayList<>();
    return result;
  }
}
