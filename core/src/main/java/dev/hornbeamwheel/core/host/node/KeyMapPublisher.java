package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.keys.KeyAssignment;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;

/**
 * What the hosts were told of the owners of one service's keys.
 *
 * <p>Each host gets the whole map once on its connection, then only what changed. All hosts that
 * have the map have the same one, so a change is worked out once for all of them. Whole maps are
 * long: few hosts get theirs in one round, so that a coordinator's link stays free for slots.
 */
final class KeyMapPublisher {
  /** Hosts that get their whole map in one round. */
  static final int FULL_MAPS_PER_ROUND = 8;

  private final ServiceId service;
  private final Set<LinkId> hostsWithMap = new LinkedHashSet<>();
  private final Set<LinkId> hostsWithoutMap = new LinkedHashSet<>();
  private Map<Integer, UpstreamId> publishedOwners = Map.of();

  KeyMapPublisher(ServiceId service) {
    this.service = service;
  }

  /** Adds a host that has no map. */
  void addHost(LinkId host) {
    hostsWithMap.remove(host);
    hostsWithoutMap.add(host);
  }

  /** Forgets a host whose connection ended. */
  void removeHost(LinkId host) {
    hostsWithMap.remove(host);
    hostsWithoutMap.remove(host);
  }

  /** Returns whether a host still waits for its map. */
  boolean hasHostsWithoutMap() {
    return !hostsWithoutMap.isEmpty();
  }

  /** Tells what changed, and some whole maps. */
  void publish(List<KeyAssignment> owners, BiConsumer<LinkId, HostMessage> tell) {
    Map<Integer, UpstreamId> now = byFirstKey(owners);
    publishChange(now, tell);
    publishedOwners = now;
    HostMessage whole = new HostMessage.KeyMap(service, publishedOwners);
    Iterator<LinkId> next = hostsWithoutMap.iterator();
    for (int i = 0; i < FULL_MAPS_PER_ROUND && next.hasNext(); i++) {
      LinkId host = next.next();
      next.remove();
      hostsWithMap.add(host);
      tell.accept(host, whole);
    }
  }

  private void publishChange(Map<Integer, UpstreamId> now, BiConsumer<LinkId, HostMessage> tell) {
    Map<Integer, UpstreamId> changed = new TreeMap<>(now);
    changed.entrySet().removeAll(publishedOwners.entrySet());
    Set<Integer> joined = new TreeSet<>(publishedOwners.keySet());
    joined.removeAll(now.keySet());
    int size = changed.size() + joined.size();
    if (size > now.size() / 2) {
      // Hardly shorter than the whole map.
      hostsWithoutMap.addAll(hostsWithMap);
      hostsWithMap.clear();
    } else if (size > 0) {
      HostMessage change = new HostMessage.KeyMapChange(service, changed, joined);
      hostsWithMap.forEach(host -> tell.accept(host, change));
    }
  }

  private static Map<Integer, UpstreamId> byFirstKey(List<KeyAssignment> owners) {
    Map<Integer, UpstreamId> byFirstKey = new TreeMap<>();
    UpstreamId before = null;
    for (KeyAssignment assignment : owners) {
      UpstreamId owner = assignment.owner().life().id();
      if (!owner.equals(before)) {
        byFirstKey.put(assignment.range().first(), owner);
      }
      before = owner;
    }
    return byFirstKey;
  }
}
