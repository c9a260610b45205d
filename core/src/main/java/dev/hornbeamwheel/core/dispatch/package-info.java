/** Slot leases: one dispatcher per service and data centre leases upstream slots to routers. */
package dev.hornbeamwheel.core.dispatch;
