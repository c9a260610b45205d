/** Drills: the real programs on loopback, under load, while processes and upstreams fail. */
package dev.hornbeamwheel.e2e;
