/** Measures contract limits over a fleet. */
package dev.hornbeamwheel.bench.limits;
