/** Command line, exit codes and shutdown that all long-running programs share. */
package dev.hornbeamwheel.runtime.cli;
