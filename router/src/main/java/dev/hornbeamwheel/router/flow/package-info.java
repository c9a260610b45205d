/** Requests in flight: carries out what routing decides and reports back how attempts go. */
package dev.hornbeamwheel.router.flow;
