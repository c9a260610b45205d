package dev.hornbeamwheel.core.membership;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;

/**
 * A process of the system as the fleet knows it.
 *
 * @param id the member
 * @param incarnation the start of the process that is meant
 * @param dataCentre the data centre that it runs in
 * @param role what it does
 * @param address IP number and port for peers, for instance {@code 127.0.0.1:7000}
 * @param state what the fleet believes of it
 */
public record Member(
    MemberId id,
    Incarnation incarnation,
    DataCentreId dataCentre,
    Role role,
    String address,
    MemberState state) {

  /** Returns this member in another state. */
  public Member withState(MemberState newState) {
    return new Member(id, incarnation, dataCentre, role, address, newState);
  }
}
