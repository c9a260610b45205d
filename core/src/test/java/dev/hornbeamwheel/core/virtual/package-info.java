/** Simulated time, network and clocks for tests of reducers. */
package dev.hornbeamwheel.core.virtual;
