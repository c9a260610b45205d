/** Small programs that show how a caller uses the router. */
package dev.hornbeamwheel.examples;
