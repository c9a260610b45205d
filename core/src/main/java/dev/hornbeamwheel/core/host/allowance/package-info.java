/**
 * What hosts need for the time without a coordinator, whatever it limits: the renewal of leases,
 * and the times at which refused callers return.
 */
package dev.hornbeamwheel.core.host.allowance;
