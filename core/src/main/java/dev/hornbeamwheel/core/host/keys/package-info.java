/**
 * Assigns the keys of services to upstreams: the stored table, grants, renewals and moves.
 *
 * <p>Only the coordinator assigns keys, and only while it holds its lease. An order is a call to an
 * upstream that grants or releases a range of keys. A grant lasts for a hold time, which starts
 * when the grant arrives at the upstream.
 */
package dev.hornbeamwheel.core.host.keys;
