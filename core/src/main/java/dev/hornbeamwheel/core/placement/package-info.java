/** Placement policies, which decide which upstream should own which slice. */
package dev.hornbeamwheel.core.placement;
