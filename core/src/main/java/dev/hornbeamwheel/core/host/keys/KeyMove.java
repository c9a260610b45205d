package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;

/**
 * A range that is to change its owner.
 *
 * @param range the keys; part of one assignment
 * @param target the new owner
 * @param reason why, in a few words
 */
record KeyMove(KeyRange range, UpstreamRegistration target, String reason) {}
