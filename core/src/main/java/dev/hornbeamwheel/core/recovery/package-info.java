/** Quarantine of requests that crash the upstreams that run them. */
package dev.hornbeamwheel.core.recovery;
