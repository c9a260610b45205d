/** Metrics that the programs share. */
package dev.hornbeamwheel.runtime.metrics;
