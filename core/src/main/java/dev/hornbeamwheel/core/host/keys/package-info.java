/**
 * Which upstream owns which keys: the table that lies in the store, grants, renewals and moves.
 *
 * <p>All of it is done by the coordinator, and only while it holds its lease.
 */
package dev.hornbeamwheel.core.host.keys;
