/** Strict reading of the JSON settings of a program. */
package dev.hornbeamwheel.runtime.settings;
