/** Joins the concerns of a process into one reducer. */
package dev.hornbeamwheel.core.node;
