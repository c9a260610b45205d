package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.membership.Member;
import dev.hornbeamwheel.core.membership.MemberState;
import dev.hornbeamwheel.core.membership.Role;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;

/**
 * What a process knows of itself.
 *
 * @param member the member
 * @param incarnation this start of it
 * @param dataCentre the data centre that it stands in
 * @param peerAddress IP number and port for other members
 * @param seed seed of its random numbers; must differ between members
 */
public record NodeIdentity(
    MemberId member,
    Incarnation incarnation,
    DataCentreId dataCentre,
    String peerAddress,
    long seed) {
  /** Returns this process as others see it in a role. */
  Member asMember(Role role) {
    return new Member(member, incarnation, dataCentre, role, peerAddress, MemberState.ALIVE);
  }
}
