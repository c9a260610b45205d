/**
 * Limits what all hosts without a coordinator send to a service: each host holds a leased share of
 * the throughput, or a minimum share.
 */
package dev.hornbeamwheel.core.host.shares;
