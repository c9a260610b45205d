package dev.hornbeamwheel.core.membership;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.List;
import java.util.Set;

/** What membership asks its process to do. */
public sealed interface GossipEffect {
  /**
   * Sends a message; it may be lost.
   *
   * @param to the receiver
   * @param address where the receiver was last known to listen
   * @param message the message
   */
  record Send(MemberId to, String address, GossipMessage message) implements GossipEffect {}

  /** All members whose row changed, in any state; this process itself is never among them. */
  record MembersChanged(List<Member> members) implements GossipEffect {
    /** Copies the list. */
    public MembersChanged {
      members = List.copyOf(members);
    }
  }

  /** Items that this process did not know, never of topic {@link Topic#MEMBER}. */
  record ItemsLearned(List<Item> items) implements GossipEffect {
    /** Copies the list. */
    public ItemsLearned {
      items = List.copyOf(items);
    }
  }

  /** Data centres of which nothing has been heard lately; own one is never among them. */
  record UnreachableDataCentres(Set<DataCentreId> dataCentres) implements GossipEffect {
    /** Copies the set. */
    public UnreachableDataCentres {
      dataCentres = Set.copyOf(dataCentres);
    }
  }

  /** Reads the platform's host list. */
  record PollHostList() implements GossipEffect {}
}
