/** Contract limits that hold over the whole fleet, by leased shares. */
package dev.hornbeamwheel.core.limits;
