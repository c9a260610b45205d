/** Stand-ins for the platform and for upstreams, for tests and the quick start only. */
package dev.hornbeamwheel.standins;
