/** Small helpers of the HTTP handlers. */
package dev.hornbeamwheel.standins.http;
