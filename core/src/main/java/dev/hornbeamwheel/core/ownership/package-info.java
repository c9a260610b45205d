/** Leader election for cells, slice grants to upstreams, and slice moves between upstreams. */
package dev.hornbeamwheel.core.ownership;
