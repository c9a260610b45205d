/**
 * Organisations: which caller a request belongs to, and the quotas of organisations over the fleet.
 */
package dev.hornbeamwheel.core.host.organisations;
