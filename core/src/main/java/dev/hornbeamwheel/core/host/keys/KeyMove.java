package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;

/**
 * A planned move of keys to another owner.
 *
 * @param range the keys, all from one assignment
 * @param target the new owner
 * @param reason short reason for the log
 */
record KeyMove(KeyRange range, UpstreamRegistration target, String reason) {}
