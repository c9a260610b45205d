/** The clock type of the project. */
package dev.hornbeamwheel.core.time;
