/** Quarantine of requests that crash upstreams. */
package dev.hornbeamwheel.core.recovery;
