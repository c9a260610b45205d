package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.config.ConfigEffect;
import dev.hornbeamwheel.core.config.ConfigEvent;
import dev.hornbeamwheel.core.config.ConfigReducer;
import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.config.ConfigurationRow;
import dev.hornbeamwheel.core.membership.GossipEffect;
import dev.hornbeamwheel.core.membership.GossipEvent;
import dev.hornbeamwheel.core.membership.Item;
import dev.hornbeamwheel.core.membership.ItemKey;
import dev.hornbeamwheel.core.membership.Member;
import dev.hornbeamwheel.core.membership.MembershipReducer;
import dev.hornbeamwheel.core.membership.Role;
import dev.hornbeamwheel.core.membership.Topic;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Membership and configuration, which every member takes part in. */
final class FleetPart {
  /** What a process does with what the fleet tells it. */
  interface Listener {
    /** Takes a configuration that has come into force. */
    void configurationInForce(long nowMillis, Configuration configuration);

    /** Takes all members, this process and those that are gone included. */
    void membersChanged(long nowMillis, Collection<Member> members);

    /** Takes an item that is neither a member nor the configuration. */
    void itemLearned(long nowMillis, Item item);
  }

  private final NodeIdentity self;
  private final ItemCodec codec;
  private final MembershipReducer membership;
  private final ConfigReducer config;
  private final Listener listener;
  private final List<NodeEffect> out;
  private final Map<MemberId, Member> members = new TreeMap<>();
  private final Map<MemberId, String> addresses = new HashMap<>();
  private boolean started;
  private long unreadableItems;

  FleetPart(
      NodeIdentity self, Role role, ItemCodec codec, Listener listener, List<NodeEffect> out) {
    this.self = self;
    this.codec = codec;
    this.listener = listener;
    this.out = out;
    this.membership = MembershipReducer.of(self.asMember(role), self.seed());
    this.config = ConfigReducer.of(self.member());
    members.put(self.member(), self.asMember(role));
  }

  Configuration configuration() {
    return config.current();
  }

  Collection<Member> members() {
    return members.values();
  }

  /** Returns how many items were learned that this version cannot read. */
  long unreadableItems() {
    return unreadableItems;
  }

  void tick(long nowMillis) {
    if (!started) {
      started = true;
      tellMembers(nowMillis);
    }
    gossip(new GossipEvent.Tick(nowMillis));
    configure(new ConfigEvent.Tick(nowMillis));
  }

  void gossip(GossipEvent event) {
    long now = event.atMillis();
    for (GossipEffect effect : membership.reduce(event)) {
      if (effect instanceof GossipEffect.Send send) {
        learnAddress(send.to(), send.address());
        out.add(new NodeEffect.Send(send.to(), new PeerMessage.Gossip(send.message())));
      } else if (effect instanceof GossipEffect.MembersChanged changed) {
        changed.members().forEach(this::update);
        tellMembers(now);
      } else if (effect instanceof GossipEffect.ItemsLearned learned) {
        learned.items().forEach(item -> learn(now, item));
      } else if (effect instanceof GossipEffect.UnreachableDataCentres unreachable) {
        out.add(new NodeEffect.DataCentresUnreachable(unreachable.dataCentres()));
      } else if (effect instanceof GossipEffect.PollHostList) {
        out.add(new NodeEffect.PollHostList());
      }
    }
  }

  void configurationRead(long nowMillis, Configuration configuration) {
    configure(new ConfigEvent.ConfigurationRead(nowMillis, configuration));
  }

  /** Spreads an item to all members. */
  void publish(long nowMillis, Item item) {
    gossip(new GossipEvent.LocalChange(nowMillis, item));
  }

  private void update(Member member) {
    members.put(member.id(), member);
    if (member.state().present()) {
      learnAddress(member.id(), member.address());
    } else if (addresses.remove(member.id()) != null) {
      out.add(new NodeEffect.PeerGone(member.id()));
    }
  }

  private void learnAddress(MemberId member, String address) {
    if (!address.equals(addresses.put(member, address))) {
      out.add(new NodeEffect.PeerAddress(member, address));
    }
  }

  private void tellMembers(long nowMillis) {
    configure(new ConfigEvent.PeersKnown(nowMillis, presentInOwnDataCentre()));
    listener.membersChanged(nowMillis, members.values());
  }

  private List<MemberId> presentInOwnDataCentre() {
    return members.values().stream()
        .filter(member -> member.state().present())
        .filter(member -> member.dataCentre().equals(self.dataCentre()))
        .map(Member::id)
        .toList();
  }

  private void learn(long nowMillis, Item item) {
    try {
      if (item.key().topic() == Topic.CONFIGURATION) {
        Configuration learned = codec.decodeConfiguration(item.content());
        configure(new ConfigEvent.ConfigurationLearned(nowMillis, learned));
      } else {
        listener.itemLearned(nowMillis, item);
      }
    } catch (IllegalArgumentException malformed) {
      // An item that this version cannot read is still relayed, and means nothing here.
      unreadableItems++;
    }
  }

  private void configure(ConfigEvent event) {
    List<ConfigEffect> effects = config.reduce(event);
    for (ConfigEffect effect : effects) {
      if (effect instanceof ConfigEffect.InForce inForce) {
        out.add(new NodeEffect.ConfigurationInForce(inForce.configuration()));
        listener.configurationInForce(event.atMillis(), inForce.configuration());
      } else if (effect instanceof ConfigEffect.Publish publish) {
        publish(event.atMillis(), configurationItem(publish.configuration()));
      } else if (effect instanceof ConfigEffect.PollConfigurationRow) {
        out.add(new NodeEffect.PollConfiguration());
      }
    }
  }

  private Item configurationItem(Configuration configuration) {
    return Item.of(
        ItemKey.of(Topic.CONFIGURATION, ConfigurationRow.NAME),
        configuration.version(),
        codec.encodeConfiguration(configuration));
  }
}
