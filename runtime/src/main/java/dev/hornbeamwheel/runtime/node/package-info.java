/** What the programs share to run a node: item codec, peers, platform reads and metrics. */
package dev.hornbeamwheel.runtime.node;
