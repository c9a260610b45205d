/**
 * The program of an entry host: callers' HTTP, upstreams, other hosts and the platform on one event
 * loop, around the reducer of {@code core.host.node}.
 */
package dev.hornbeamwheel.host;
