/** Monotonic clocks. */
package dev.hornbeamwheel.core.time;
