/** The stand-in for the platform: table, object store and host list. */
package dev.hornbeamwheel.standins.platform;
