/** Gossip between members: who is alive, and the items that every member should know. */
package dev.hornbeamwheel.core.membership;
