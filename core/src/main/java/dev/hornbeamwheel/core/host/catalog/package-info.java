/** What operators and upstreams declare: routes, services, upstreams, evacuated data centres. */
package dev.hornbeamwheel.core.host.catalog;
