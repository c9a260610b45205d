/** Stand-ins of the users' machines: the platform's store and upstreams that hold keys. */
package dev.hornbeamwheel.standins.site;
