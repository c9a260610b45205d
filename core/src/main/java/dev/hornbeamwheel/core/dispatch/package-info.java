/** Slot leases: one dispatcher per service and data centre shares out the slots of upstreams. */
package dev.hornbeamwheel.core.dispatch;
