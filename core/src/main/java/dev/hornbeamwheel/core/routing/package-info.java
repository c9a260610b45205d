/** Requests from arrival to outcome: choice of upstream, attempts, retries and answers. */
package dev.hornbeamwheel.core.routing;
