/** At-most-once execution: claims on idempotency keys, kept by the voters of a cell. */
package dev.hornbeamwheel.core.claims;
