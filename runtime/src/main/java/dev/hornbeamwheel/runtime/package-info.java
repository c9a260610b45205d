/** What all programs share: settings, command line, logs, metrics, operator port, event loop. */
package dev.hornbeamwheel.runtime;
