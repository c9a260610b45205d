/** The reducer of an entry host, and the events, effects and messages that it handles. */
package dev.hornbeamwheel.core.host.node;
