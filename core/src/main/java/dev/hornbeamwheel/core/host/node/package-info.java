/** One entry host: all concerns joined into one reducer over all events, with effects as data. */
package dev.hornbeamwheel.core.host.node;
