package dev.hornbeamwheel.standins.faults;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.List;

/**
 * A host in the platform's list.
 *
 * @param host the host
 * @param dataCentre the data centre that it stands in
 * @param leaving whether it is about to be taken away
 * @param members the processes of the system on it
 */
public record ListedHost(
    HostId host, DataCentreId dataCentre, boolean leaving, List<ListedMember> members) {
  /** Copies the list. */
  public ListedHost {
    members = List.copyOf(members);
  }

  /** A process of the system and where it is reached. */
  public record ListedMember(MemberId member, String peerAddress, String operatorAddress) {}
}
