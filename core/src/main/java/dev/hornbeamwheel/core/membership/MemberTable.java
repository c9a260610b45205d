package dev.hornbeamwheel.core.membership;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.placement.Rendezvous;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The members that are known, ordered for the choice of peers. */
final class MemberTable {
  private static final long BRIDGE_HASH = Rendezvous.hash("bridge");

  private final Member self;
  private final Map<MemberId, Row> rows = new HashMap<>();
  private Map<MemberId, Seed> seeds = Map.of();
  private View view;
  private boolean outdated;

  MemberTable(Member self) {
    this.self = self;
    put(self);
  }

  void put(Member member) {
    Row old = rows.get(member.id());
    long hash = old == null ? Rendezvous.hash(member.id().value()) : old.hash;
    rows.put(member.id(), new Row(member, hash));
    outdated = true;
  }

  void remove(MemberId id) {
    rows.remove(id);
    outdated = true;
  }

  void seeds(List<Seed> list) {
    Map<MemberId, Seed> byId = new HashMap<>();
    list.stream().filter(seed -> !seed.id().equals(self.id())).forEach(s -> byId.put(s.id(), s));
    seeds = byId;
    view = null;
  }

  Optional<Member> find(MemberId id) {
    return Optional.ofNullable(rows.get(id)).map(Row::member);
  }

  /** Returns where a member was last known to listen. */
  Optional<String> address(MemberId id) {
    Row row = rows.get(id);
    return row != null
        ? Optional.of(row.member.address())
        : Optional.ofNullable(seeds.get(id)).map(Seed::address);
  }

  /** Returns the present members of the own data centre but for this process. */
  List<MemberId> peers() {
    return view().peers;
  }

  /** Returns the bridges of each other data centre. */
  Map<DataCentreId, List<MemberId>> farBridges() {
    return view().farBridges;
  }

  List<MemberId> ownBridges() {
    return view().ownBridges;
  }

  boolean isBridge() {
    return view().ownBridges.contains(self.id());
  }

  /** Returns the rank of this process among its data centre's bridges; -1 if it is none. */
  int bridgeRank() {
    return view().ownBridges.indexOf(self.id());
  }

  /** Returns the members that should watch this process. */
  List<MemberId> watchers() {
    return view().watchers;
  }

  /** Returns the members that this process should watch. */
  List<MemberId> watched() {
    return view().watched;
  }

  /** Returns members that are far away, absent, or only named by the host list. */
  List<MemberId> strays() {
    return view().strays;
  }

  /**
   * Takes changes of members into account in the choice of peers.
   *
   * <p>Called once per tick, because a change for each message of a cold start would cost more than
   * a choice that is one tick old.
   */
  void refresh() {
    if (outdated) {
      view = null;
    }
  }

  private View view() {
    if (view == null) {
      view = new View();
      outdated = false;
    }
    return view;
  }

  private record Row(Member member, long hash) {}

  private final class View {
    final List<MemberId> peers;
    final List<MemberId> ownBridges;
    final Map<DataCentreId, List<MemberId>> farBridges = new HashMap<>();
    final List<MemberId> watchers;
    final List<MemberId> watched;
    final List<MemberId> strays;

    View() {
      Map<DataCentreId, List<Row>> present = new TreeMap<>();
      List<MemberId> others = new ArrayList<>();
      rows.values().forEach(row -> sortIn(row, present, others));
      seeds.keySet().stream().filter(id -> !rows.containsKey(id)).forEach(others::add);
      others.sort(Comparator.naturalOrder());
      strays = others;
      List<Row> ring = present.getOrDefault(self.dataCentre(), new ArrayList<>());
      ring.sort(Comparator.comparingLong(Row::hash));
      ownBridges = bridges(ring);
      present.remove(self.dataCentre());
      present.forEach((dataCentre, list) -> farBridges.put(dataCentre, bridges(list)));
      List<MemberId> ids = ring.stream().map(row -> row.member.id()).toList();
      watchers = neighbours(ids, 1);
      watched = neighbours(ids, -1);
      peers = ids.stream().filter(id -> !id.equals(self.id())).toList();
    }

    private void sortIn(Row row, Map<DataCentreId, List<Row>> present, List<MemberId> others) {
      DataCentreId dataCentre = row.member.dataCentre();
      boolean alive = row.member.state().present();
      if (alive) {
        present.computeIfAbsent(dataCentre, key -> new ArrayList<>()).add(row);
      }
      boolean far = alive && !dataCentre.equals(self.dataCentre());
      boolean absent = !alive && row.member.state() != MemberState.LEFT;
      if (far || absent) {
        others.add(row.member.id());
      }
    }

    private List<MemberId> bridges(List<Row> present) {
      return present.stream()
          .sorted(
              Comparator.comparingLong((Row row) -> Rendezvous.weight(row.hash, BRIDGE_HASH))
                  .reversed())
          .limit(GossipTiming.BRIDGES)
          .map(row -> row.member.id())
          .toList();
    }

    private List<MemberId> neighbours(List<MemberId> ring, int step) {
      int own = ring.indexOf(self.id());
      List<MemberId> found = new ArrayList<>();
      int count = Math.min(GossipTiming.WATCHERS, ring.size() - 1);
      for (int distance = 1; own >= 0 && distance <= count; distance++) {
        found.add(ring.get(Math.floorMod(own + step * distance, ring.size())));
      }
      return found;
    }
  }
}
