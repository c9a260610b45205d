/** Request routing: upstream selection, attempts, retries, hedging and outcomes. */
package dev.hornbeamwheel.core.routing;
