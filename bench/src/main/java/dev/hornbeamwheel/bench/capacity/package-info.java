/** Measures the slopes from which the capacity page is worked out. */
package dev.hornbeamwheel.bench.capacity;
