/** Structured log entries. */
package dev.hornbeamwheel.core.host.log;
