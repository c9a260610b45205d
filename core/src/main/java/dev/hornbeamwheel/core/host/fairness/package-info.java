/**
 * Decisions on who gets the work of an overloaded service.
 *
 * <p>No I/O and no threads; docs/design/fair-shares.md states the rules. All state is that of one
 * coordinator and is lost with it.
 */
package dev.hornbeamwheel.core.host.fairness;
