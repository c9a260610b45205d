/** Structured log lines, as data. */
package dev.hornbeamwheel.core.host.log;
