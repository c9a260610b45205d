/** The program that takes callers' requests to upstreams. */
package dev.hornbeamwheel.router;
