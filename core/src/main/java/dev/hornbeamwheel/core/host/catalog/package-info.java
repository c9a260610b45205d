/** Routes and services that operators declare, registered upstreams, evacuated data centres. */
package dev.hornbeamwheel.core.host.catalog;
