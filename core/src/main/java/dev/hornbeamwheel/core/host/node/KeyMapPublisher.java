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
 * Publishes the owners of one service's keys to the connected hosts.
 *
 * <p>During a hand-over, that is the previous owner until the new one may be granted the keys: the
 * next coordinator has to know which of them may hold the keys, if the stored table is lost.
 *
 * <p>Each host receives the full map once per connection and then only changes. All hosts that have
 * the map have the same version, so each change is computed once for all of them. Full maps are
 * large; the number sent per round is limited to leave the coordinator's link free for slot
 * messages.
 */
final class KeyMapPublisher {
  /** Maximum number of hosts that receive the full map in one round. */
  static final int FULL_MAPS_PER_ROUND = 8;

  private final ServiceId service;
  private final Set<LinkId> hostsWithMap = new LinkedHashSet<>();
  private final Set<LinkId> hostsWithoutMap = new LinkedHashSet<>();
  private Map<Integer, UpstreamId> publishedOwners = Map.of();

  KeyMapPublisher(ServiceId service) {
    this.service = service;
  }

  /** Adds a host that needs the full map, also if it had one before. */
  void addHost(LinkId host) {
    hostsWithMap.remove(host);
    hostsWithoutMap.add(host);
  }

  /** Removes a host whose connection was closed. */
  void removeHost(LinkId host) {
    hostsWithMap.remove(host);
    hostsWithoutMap.remove(host);
  }

  /** Returns whether a host has not been sent its full map yet. */
  boolean hasHostsWithoutMap() {
    return !hostsWithoutMap.isEmpty();
  }

  /**
   * Sends the changes to all hosts that have the map, and the full map to some that do not.
   *
   * @param owners all owners, in the order of their keys
   * @param sender sends a message to a host
   */
  void publish(List<KeyAssignment> owners, BiConsumer<LinkId, HostMessage> sender) {
    Map<Integer, UpstreamId> current = ownersByFirstKey(owners);
    publishChange(current, sender);
    publishedOwners = current;
    HostMessage fullMap = new HostMessage.KeyMap(service, publishedOwners);
    Iterator<LinkId> next = hostsWithoutMap.iterator();
    for (int i = 0; i < FULL_MAPS_PER_ROUND && next.hasNext(); i++) {
      LinkId host = next.next();
      next.remove();
      hostsWithMap.add(host);
      sender.accept(host, fullMap);
    }
  }

  private void publishChange(
      Map<Integer, UpstreamId> current, BiConsumer<LinkId, HostMessage> sender) {
    Map<Integer, UpstreamId> changed = new TreeMap<>(current);
    changed.entrySet().removeAll(publishedOwners.entrySet());
    Set<Integer> mergedFirstKeys = new TreeSet<>(publishedOwners.keySet());
    mergedFirstKeys.removeAll(current.keySet());
    int size = changed.size() + mergedFirstKeys.size();
    if (size > current.size() / 2) {
      // The change would be almost as large as the full map.
      hostsWithoutMap.addAll(hostsWithMap);
      hostsWithMap.clear();
    } else if (size > 0) {
      HostMessage change = new HostMessage.KeyMapChange(service, changed, mergedFirstKeys);
      hostsWithMap.forEach(host -> sender.accept(host, change));
    }
  }

  private static Map<Integer, UpstreamId> ownersByFirstKey(List<KeyAssignment> owners) {
    Map<Integer, UpstreamId> byFirstKey = new TreeMap<>();
    UpstreamId previousOwner = null;
    for (KeyAssignment assignment : owners) {
      UpstreamId owner = assignment.possibleHolder();
      if (!owner.equals(previousOwner)) {
        byFirstKey.put(assignment.range().first(), owner);
      }
      previousOwner = owner;
    }
    return byFirstKey;
  }
}
