/** The path of a caller's request through one entry host: route, slot, attempts, final answer. */
package dev.hornbeamwheel.core.host.request;
