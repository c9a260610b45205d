/** The operators' command {@code hornbeamwheelctl}. */
package dev.hornbeamwheel.ctl;
