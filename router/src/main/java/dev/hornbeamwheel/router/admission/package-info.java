/** Admission of requests under their contracts, before they are routed. */
package dev.hornbeamwheel.router.admission;
