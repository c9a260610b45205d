package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;

/**
 * Identifies a controller process; a restarted controller is a different voter.
 *
 * @param member the controller
 * @param incarnation the incarnation of its process
 */
public record Voter(MemberId member, Incarnation incarnation) {}
