/** Election of the coordinator by a lease in the platform's store, timed by the store's clock. */
package dev.hornbeamwheel.core.host.lease;
