package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;

/** A controller process that stores claims; a restart makes it a different voter. */
public record ClaimVoter(MemberId member, Incarnation incarnation) {}
