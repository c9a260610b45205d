/** Leadership of cells, grants to upstreams and moves of slices. */
package dev.hornbeamwheel.core.ownership;
