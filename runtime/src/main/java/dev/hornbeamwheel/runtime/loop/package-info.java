/** The single thread that runs the reducer of a process. */
package dev.hornbeamwheel.runtime.loop;
