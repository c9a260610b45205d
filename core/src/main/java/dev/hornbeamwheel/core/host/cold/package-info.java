/**
 * Keeps what a cold upstream gets within its limit: summed over the coordinator, an earlier one and
 * all hosts that decide without one.
 */
package dev.hornbeamwheel.core.host.cold;
