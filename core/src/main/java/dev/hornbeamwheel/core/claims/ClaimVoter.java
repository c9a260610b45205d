package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;

/** A controller that keeps claims, named by one start of its process. */
public record ClaimVoter(MemberId member, Incarnation incarnation) {}
