/** Learned run times of requests, and learned concurrency limits of upstreams; no I/O, no clock. */
package dev.hornbeamwheel.core.host.capacity;
