/**
 * Who waits, who is refused and where work goes: the coordinator hands out the slots of upstreams.
 */
package dev.hornbeamwheel.core.host.slots;
