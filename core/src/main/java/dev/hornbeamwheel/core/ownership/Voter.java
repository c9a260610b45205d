package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;

/**
 * A controller named by one start of its process; a restarted controller is another voter.
 *
 * @param member the controller
 * @param incarnation the start that is meant
 */
public record Voter(MemberId member, Incarnation incarnation) {}
