/** Which host is the coordinator: one lease in the platform's store, timed by the store's clock. */
package dev.hornbeamwheel.core.host.lease;
