/** Declared services, upstreams and contracts, and the version line of the configuration. */
package dev.hornbeamwheel.core.config;
