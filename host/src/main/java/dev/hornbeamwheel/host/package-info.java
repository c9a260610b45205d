/**
 * The entry host process: connects callers, upstreams, other hosts and the platform to the reducer
 * in {@code core.host.node}, on one event loop.
 */
package dev.hornbeamwheel.host;
