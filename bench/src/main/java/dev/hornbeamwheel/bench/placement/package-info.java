/** Measures placement policies under a shifting load. */
package dev.hornbeamwheel.bench.placement;
