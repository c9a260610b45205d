/** Measurements of routing policies in virtual time. */
package dev.hornbeamwheel.bench.policy;
