/** Log lines of the programs: the decision log and the asynchronous appender. */
package dev.hornbeamwheel.runtime.logging;
