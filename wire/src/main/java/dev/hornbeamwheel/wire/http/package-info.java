/** HTTP calls without blocking, on one event loop, over kept connections. */
package dev.hornbeamwheel.wire.http;
