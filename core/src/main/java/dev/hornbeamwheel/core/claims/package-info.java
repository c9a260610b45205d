/** At-most-once execution: claims on idempotency keys, stored by the voters of a cell. */
package dev.hornbeamwheel.core.claims;
