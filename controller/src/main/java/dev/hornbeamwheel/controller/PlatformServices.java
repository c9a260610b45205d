package dev.hornbeamwheel.controller;

import dev.hornbeamwheel.platform.HostList;
import dev.hornbeamwheel.platform.ObjectStore;
import dev.hornbeamwheel.platform.TableClient;
import dev.hornbeamwheel.platform.UpstreamOrders;
import dev.hornbeamwheel.platform.http.HttpPlatform;

/**
 * What the controller needs from outside.
 *
 * @param table the platform's table
 * @param objects the platform's object store
 * @param hosts the platform's host list
 * @param orders the orders that upstreams take
 * @param close ends connections and threads
 */
record PlatformServices(
    TableClient table, ObjectStore objects, HostList hosts, UpstreamOrders orders, Runnable close) {
  /** Returns the services over HTTP. */
  static PlatformServices over(HttpPlatform platform) {
    return new PlatformServices(
        platform.table(),
        platform.objectStore(),
        platform.hostList(),
        platform.upstreamOrders(),
        platform::close);
  }
}
