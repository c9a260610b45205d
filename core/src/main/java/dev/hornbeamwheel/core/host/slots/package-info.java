/** The coordinator's admission control: queues slot requests and grants the slots of upstreams. */
package dev.hornbeamwheel.core.host.slots;
