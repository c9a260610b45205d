/** Stand-ins for upstreams, each with its own port in one process. */
package dev.hornbeamwheel.standins.upstream;
