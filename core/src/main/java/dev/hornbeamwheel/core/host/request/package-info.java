/** Processing of a caller's request on an entry host: routing, slot, attempts, final response. */
package dev.hornbeamwheel.core.host.request;
