/** Deterministic decisions of the system, free of I/O, threads and wall clocks. */
package dev.hornbeamwheel.core;
