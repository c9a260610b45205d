/** Which upstream should own which slice, at bounded churn. */
package dev.hornbeamwheel.core.placement;
